#include "libteaselthread/attempts/response_timeouts.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Covers round trips, one retransmission and a short queue.
constexpr Duration kBaseTimeout = milliseconds(300);
// Half the prefill rate of the engines in the deployments.
constexpr uint64_t kTokensPerMillisecond = 25;
// If a larger share of the slots is in use, queueing is normal.
constexpr double kBusyShare = 0.5;
// Applied to the route's objective and to its longest allowed event gap.
constexpr double kTimeoutMultiple = 2.5;
// A retry needs about as much time as the first attempt.
constexpr double kMaxShareOfTimeLeft = 0.5;
// An endpoint that is slower than this is not worth the wait for it.
constexpr double kMaxSlowness = 4;

Duration ScaledBy(Duration time, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

}  // namespace

ResponseTimeouts ChooseResponseTimeouts(const ResponseTimeoutQuery& query) {
  const Route& route = *query.route;
  const Duration prefill_time =
      milliseconds(query.prompt_tokens / kTokensPerMillisecond);
  const double slowness = std::clamp(query.slowness, 1.0, kMaxSlowness);
  Duration timeout = ScaledBy(kBaseTimeout + prefill_time, slowness);
  if (query.load_share * slowness > kBusyShare)
    timeout = std::max(timeout, ScaledBy(route.objective, kTimeoutMultiple));
  timeout = std::min(timeout, ScaledBy(query.time_left, kMaxShareOfTimeLeft));
  ResponseTimeouts timeouts{query.time_left, query.time_left, timeout};
  const bool may_retry = route.IsRepeatable() && route.max_attempts > 1;
  if (!may_retry)
    return timeouts;
  timeouts.first = timeout;
  if (route.max_event_gap > Duration::zero())
    timeouts.between =
        ScaledBy(route.max_event_gap, kTimeoutMultiple * slowness);
  return timeouts;
}

}  // namespace teaselthread
