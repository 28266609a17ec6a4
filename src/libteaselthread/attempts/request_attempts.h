#ifndef TEASELTHREAD_ATTEMPTS_REQUEST_ATTEMPTS_H_
#define TEASELTHREAD_ATTEMPTS_REQUEST_ATTEMPTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "libteaselthread/routes/route.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Why one attempt at an endpoint ended without a complete response.
enum class AttemptFailure : uint8_t {
  kUnreachable,      // could not connect; nothing was sent
  kStaleConnection,  // a pooled connection was closed before anything was sent
  kRejected,         // the endpoint states that it did not run the request
  kMisdirected,      // the address belongs to another endpoint now; not run
  kServerError,      // the endpoint ran the request and returned an error
  kBroken,           // the connection was lost after the request was sent
  kMalformed,        // the received bytes are not a valid response
  kOversized,        // a part of the response exceeds its limit
  kNoBufferSpace,    // the node buffers too many responses already
  kSilent,           // no data for longer than the load can explain
  kTimedOut,         // the request's deadline has passed
  kCallerGone,       // the caller has disconnected
  kCancelled,        // a parallel attempt has succeeded
};
inline constexpr size_t kAttemptFailureCount = 13;
std::string_view ToString(AttemptFailure failure);

// Whether the failure proves that the endpoint did not run the request.
bool ProvesNotRun(AttemptFailure failure);

// Which of the attempts that run in parallel is meant.
enum class AttemptRole : uint8_t {
  kFirst,
  kHedge,  // the second one, which is sent because the first one is late
};

// What to do after a failed attempt.
enum class NextStep : uint8_t {
  kRetry,          // send it to another endpoint
  kRefuse,         // final: the request was not run and will not be
  kReportUnknown,  // final: the request may have run
  kRelayError,     // final: pass the endpoint's error response to the caller
  kDrop,           // final: the caller has disconnected; send nothing
};

// Decides what happens to a request after each failed attempt. A request that
// is not repeatable is sent again only if every attempt so far is proven not to
// have run. Likewise, the caller is told that the request did not run only if
// that is proven for every attempt.
//
// Load pattern: any mix of endpoint failures, from rejections under overload to
// responses that are lost after the request has run.
class RequestAttempts {
 public:
  // Limit on extra sends caused by rejections. They do not count as attempts
  // that may have run.
  static constexpr uint32_t kMaxRejectedSends = 2;

  RequestAttempts(bool is_repeatable, uint32_t max_attempts);

  // An attempt at `endpoint` starts.
  void OnStart(const std::string& endpoint,
               AttemptRole role = AttemptRole::kFirst);
  // The first bytes of the request are about to be sent. From here on the
  // endpoint may have received some of it.
  void OnSendStarted(AttemptRole role = AttemptRole::kFirst);
  // Whether a hedge may be sent while the first attempt runs.
  bool MayHedge() const { return is_repeatable_ && runs_ + 2 <= max_attempts_; }
  // Whether another attempt may follow if the current one ends with `failure`.
  // The retry limit is not considered. For the other arguments see OnFailure.
  bool MayRetryAfter(AttemptFailure failure,
                     bool bytes_relayed,
                     bool can_resume,
                     AttemptRole role = AttemptRole::kFirst) const;
  // One of two parallel attempts has failed while the other one continues.
  void OnParallelFailure(AttemptFailure failure, AttemptRole role);
  // The attempt has failed, and no other one runs.
  // `bytes_relayed`: part of the response has been sent to the caller.
  // `can_resume`: the rest can be requested from another endpoint. `take_retry`
  // takes one retry from the retry limit and returns false if none is left. It
  // is called only if all other conditions allow a retry, and not for an
  // attempt that sent nothing, since its retry is not counted.
  template <typename TakeRetry>
  NextStep OnFailure(AttemptFailure failure,
                     bool bytes_relayed,
                     bool can_resume,
                     TakeRetry take_retry,
                     AttemptRole role = AttemptRole::kFirst) {
    const NextStep step = Decide(failure, bytes_relayed, can_resume, role);
    if (step != NextStep::kRetry || !has_sent(role) || take_retry())
      return step;
    return FinalStep(failure, bytes_relayed);
  }

  // Whether any attempt may have run the request.
  bool may_have_run() const { return may_have_run_; }
  uint32_t sends() const { return sends_; }
  const std::set<std::string>& tried() const { return tried_; }

 private:
  NextStep Decide(AttemptFailure failure,
                  bool bytes_relayed,
                  bool can_resume,
                  AttemptRole role);
  // Whether the current attempt in this role has begun to send the request.
  bool has_sent(AttemptRole role) const {
    return send_started_[static_cast<size_t>(role)];
  }
  bool MayHaveRun(AttemptFailure failure, AttemptRole role) const {
    return has_sent(role) && !ProvesNotRun(failure);
  }
  NextStep FinalStep(AttemptFailure failure, bool bytes_relayed) const;

  bool is_repeatable_;
  uint32_t max_attempts_;
  uint32_t runs_ = 0;  // attempts that may have run
  uint32_t rejected_sends_ = 0;
  uint32_t sends_ = 0;  // attempts that began to send the request
  uint32_t unsent_ = 0;
  std::array<bool, 2> send_started_{};  // in the current attempts, by role
  bool may_have_run_ = false;
  std::set<std::string> tried_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_REQUEST_ATTEMPTS_H_
