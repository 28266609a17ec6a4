#ifndef TEASELTHREAD_ATTEMPTS_SILENCE_POLICY_H_
#define TEASELTHREAD_ATTEMPTS_SILENCE_POLICY_H_

#include <compare>
#include <cstdint>

#include "libteaselthread/routes/route.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// How long an endpoint may say nothing during one attempt.
struct SilenceLimits {
  // Until the first byte of an answer or event; after that the attempt ends.
  Duration first{};
  // Between two pieces of an answer; after that the attempt ends.
  Duration between{};
  // Until the endpoint counts as failing. The attempt goes on if it may not be
  // repeated.
  Duration judge{};

  friend auto operator<=>(const SilenceLimits&, const SilenceLimits&) = default;
};

struct SilenceQuery {
  const Route* route = nullptr;
  uint64_t prompt_tokens = 0;  // that the endpoint may have to read
  double load_share = 0;       // of the endpoint's slots that are taken
  Duration time_left{};
};

// Chooses the limits so that a repeat after the first one can still meet the
// objective, and a busy endpoint is not taken for a silent one.
//
// Load pattern: engines that go dark or hang in the middle of traffic, so that
// each request sent there costs its whole deadline; and long prompts that keep
// a healthy engine silent while it reads them.
SilenceLimits ChooseSilenceLimits(const SilenceQuery& query);

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_SILENCE_POLICY_H_
