#ifndef TEASELTHREAD_ATTEMPTS_SILENCE_DECISION_H_
#define TEASELTHREAD_ATTEMPTS_SILENCE_DECISION_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace teaselthread {

// What becomes of an attempt whose endpoint has been silent for long: it is
// abandoned, as another one follows or runs, or awaited for one of the other
// reasons.
//
// Load pattern: healthy endpoints pause, as engines do that preempt requests
// when their memory runs out, while few attempts, retries or endpoints are
// left.
enum class SilenceDecision : uint8_t {
  kAbandon,
  kNoAttemptLeft,       // the request must not be sent again
  kStaleConfiguration,  // it must not be sent at the moment
  kBlockedPrompt,       // its prompt may have crashed endpoints
  kNoEndpoint,          // no other endpoint can take it
  kRetryLimit,          // the retry allowance is used up
};
inline constexpr size_t kSilenceDecisionCount = 6;
std::string_view ToString(SilenceDecision decision);

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_SILENCE_DECISION_H_
