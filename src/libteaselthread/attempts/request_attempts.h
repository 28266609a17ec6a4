#ifndef TEASELTHREAD_ATTEMPTS_REQUEST_ATTEMPTS_H_
#define TEASELTHREAD_ATTEMPTS_REQUEST_ATTEMPTS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "libteaselthread/routes/route.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// How one attempt at an endpoint ended without a whole answer.
enum class AttemptFailure : uint8_t {
  kUnreachable,      // no connection; nothing was sent
  kStaleConnection,  // a kept connection was gone before anything was sent
  kRejected,         // the endpoint states that it did not run the request
  kMisdirected,      // another endpoint has the address; not run
  kServerError,      // the endpoint's own failure; it ran the request
  kBroken,           // the connection broke after the request was sent
  kMalformed,        // bytes that are no answer to the request
  kSilent,           // no byte for longer than the load explains
  kTimedOut,         // the request's time is over
  kCallerGone,
};
inline constexpr size_t kAttemptFailureCount = 10;
std::string_view ToString(AttemptFailure failure);

// Whether it is certain that the endpoint did not run the request.
bool ProvesNotRun(AttemptFailure failure);

// What to do after an attempt has failed.
enum class NextStep : uint8_t {
  kRetry,   // send it to another endpoint
  kRefuse,  // final: not run, and never will be
  kGiveUp,  // final: it may have run
  kPassOn,  // final: give the caller the endpoint's own failure
  kDrop,    // nobody waits for an answer
};

// Decides how a request goes on after each failed attempt. A request that may
// not be repeated is sent again only if every attempt so far is proved not to
// have run, and "not run" is said only then.
//
// Load pattern: any mix of endpoint failures, from refusals under overload to
// answers that are lost after the request has run.
class RequestAttempts {
 public:
  // Further sends that rejections may cause beyond the attempts that run.
  static constexpr uint32_t kMaxRejectedSends = 2;

  RequestAttempts(bool is_repeatable, uint32_t max_attempts);

  // An attempt at `endpoint` begins.
  void OnStart(const std::string& endpoint);
  // From now on a byte of the request may have reached the endpoint.
  void OnExposed();
  // `bytes_relayed`: the caller has got a part of the answer. `can_resume`:
  // the rest can be asked for. `take_retry` draws on the retry limit. It is
  // asked once a retry is allowed by all else, unless the attempt sent nothing.
  template <typename TakeRetry>
  NextStep OnFailure(AttemptFailure failure,
                     bool bytes_relayed,
                     bool can_resume,
                     TakeRetry take_retry) {
    const NextStep step = Decide(failure, bytes_relayed, can_resume);
    if (step != NextStep::kRetry || !exposed_ || take_retry())
      return step;
    return Final(failure, bytes_relayed);
  }

  // Whether some attempt may have run the request.
  bool may_have_run() const { return may_have_run_; }
  uint32_t sends() const { return sends_; }
  const std::set<std::string>& tried() const { return tried_; }

 private:
  NextStep Decide(AttemptFailure failure, bool bytes_relayed, bool can_resume);
  NextStep Final(AttemptFailure failure, bool bytes_relayed) const;

  bool is_repeatable_;
  uint32_t max_attempts_;
  uint32_t runs_ = 0;  // attempts that may have run
  uint32_t rejected_sends_ = 0;
  uint32_t sends_ = 0;  // attempts of which a byte was sent
  uint32_t unsent_ = 0;
  bool exposed_ = false;  // the attempt under way
  bool may_have_run_ = false;
  std::set<std::string> tried_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_REQUEST_ATTEMPTS_H_
