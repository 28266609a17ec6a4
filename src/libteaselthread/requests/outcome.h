#ifndef TEASELTHREAD_REQUESTS_OUTCOME_H_
#define TEASELTHREAD_REQUESTS_OUTCOME_H_

#include <compare>
#include <string>
#include <variant>

#include "libteaselthread/requests/reasons.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The endpoint's whole answer has been relayed.
struct Answered {
  friend auto operator<=>(const Answered&, const Answered&) = default;
};

// No byte of the request reached an endpoint.
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

// How a request ended. Only the call states below make one, which is why a
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
  friend class ExposedCall;
  explicit Outcome(Kind kind) : kind_(kind) {}

  Kind kind_;
};

class ExposedCall;

// A call of which no byte can have reached an endpoint. Each transition
// consumes the state.
class UnsentCall {
 public:
  UnsentCall() = default;
  UnsentCall(UnsentCall&&) = default;
  UnsentCall& operator=(UnsentCall&&) = default;

  Outcome Refuse(RefusalReason reason, Duration retry_after) &&;

  // Call before the first byte is written, to an endpoint or to a peer that
  // may pass it on.
  ExposedCall Expose() &&;
};

// A call of which a byte may have reached an endpoint. It has no way to end
// as "not run", other than a peer's statement that it sent nothing.
class ExposedCall {
 public:
  ExposedCall(ExposedCall&&) = default;
  ExposedCall& operator=(ExposedCall&&) = default;

  Outcome Answer() &&;
  Outcome LoseTrack(UnknownReason reason) &&;

  // The peer that was given the call states that it sent no byte of it.
  UnsentCall ConfirmUnsent(const RefusedNotRun& statement) &&;

 private:
  friend class UnsentCall;
  ExposedCall() = default;
};

// "answered", "not run: reason" or "may have run: reason".
std::string Describe(const Outcome& outcome);

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_OUTCOME_H_
