#ifndef TEASELTHREAD_REQUESTS_OUTCOME_H_
#define TEASELTHREAD_REQUESTS_OUTCOME_H_

#include <compare>
#include <string>
#include <variant>

#include "libteaselthread/requests/reasons.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The endpoint's complete response has been relayed.
struct Answered {
  friend auto operator<=>(const Answered&, const Answered&) = default;
};

// The request was not run: no byte of it reached an endpoint.
struct RefusedNotRun {
  RefusalReason reason;
  Duration retry_after;

  friend auto operator<=>(const RefusedNotRun&, const RefusedNotRun&) = default;
};

// The request may have run, once.
struct MayHaveRun {
  UnknownReason reason;

  friend auto operator<=>(const MayHaveRun&, const MayHaveRun&) = default;
};

// How a request ended. Only the call states below can create an Outcome, so a
// call that may have reached an endpoint cannot end as RefusedNotRun.
class Outcome {
 public:
  using Kind = std::variant<Answered, RefusedNotRun, MayHaveRun>;

  const Kind& kind() const { return kind_; }
  bool answered() const { return std::holds_alternative<Answered>(kind_); }
  const RefusedNotRun* refused() const {
    return std::get_if<RefusedNotRun>(&kind_);
  }
  const MayHaveRun* may_have_run() const {
    return std::get_if<MayHaveRun>(&kind_);
  }

  friend bool operator==(const Outcome&, const Outcome&) = default;

 private:
  friend class UnsentCall;
  friend class PossiblySentCall;
  explicit Outcome(Kind kind) : kind_(kind) {}

  Kind kind_;
};

class PossiblySentCall;

// State of a call of which no byte can have reached an endpoint. Each
// transition consumes the state.
class UnsentCall {
 public:
  UnsentCall() = default;
  UnsentCall(UnsentCall&&) = default;
  UnsentCall& operator=(UnsentCall&&) = default;

  Outcome Refuse(RefusalReason reason, Duration retry_after) &&;

  // Must be called before the first byte is written to an endpoint, or to a
  // peer that may forward the call.
  PossiblySentCall MarkPossiblySent() &&;
};

// State of a call of which a byte may have reached an endpoint. It can end as
// "not run" only if the peer that was given the call states that it sent
// nothing.
class PossiblySentCall {
 public:
  PossiblySentCall(PossiblySentCall&&) = default;
  PossiblySentCall& operator=(PossiblySentCall&&) = default;

  Outcome Answer() &&;
  Outcome MarkUnknown(UnknownReason reason) &&;

  // The peer to which the call was forwarded states that it sent no byte of it.
  UnsentCall ConfirmUnsent(const RefusedNotRun& statement) &&;

 private:
  friend class UnsentCall;
  PossiblySentCall() = default;
};

// "answered", "not run: reason" or "may have run: reason".
std::string Describe(const Outcome& outcome);

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_OUTCOME_H_
