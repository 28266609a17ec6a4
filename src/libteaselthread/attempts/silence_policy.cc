#include "libteaselthread/attempts/silence_policy.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Round trips, a retransmission and a short queue.
constexpr Duration kBaseSilence = milliseconds(300);
// Half of the rate at which the deployments' engines read prompts.
constexpr uint64_t kTokensPerMillisecond = 25;
// Above this share of taken slots waiting is normal.
constexpr double kBusyShare = 0.5;
// Of the objective, and of the longest pause that the route allows.
constexpr double kSilenceMultiple = 2.5;
// A repeat needs about as much time as the first attempt.
constexpr double kMaxShareOfTime = 0.5;

Duration Times(Duration time, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

}  // namespace

SilenceLimits ChooseSilenceLimits(const SilenceQuery& query) {
  const Route& route = *query.route;
  const Duration reading =
      milliseconds(query.prompt_tokens / kTokensPerMillisecond);
  Duration judge = kBaseSilence + reading;
  if (query.load_share > kBusyShare)
    judge = std::max(judge, Times(route.objective, kSilenceMultiple));
  judge = std::min(judge, Times(query.time_left, kMaxShareOfTime));
  SilenceLimits limits{query.time_left, query.time_left, judge};
  const bool may_repeat = route.IsRepeatable() && route.max_attempts > 1;
  if (!may_repeat)
    return limits;
  limits.first = judge;
  if (route.max_event_gap > Duration::zero())
    limits.between = Times(route.max_event_gap, kSilenceMultiple);
  return limits;
}

}  // namespace teaselthread
