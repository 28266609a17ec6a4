#include "libteaselthread/attempts/retry_after.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Callers retry on a new connection, which usually reaches another node.
constexpr Duration kOtherNodeDelay = milliseconds(50);
// A cold endpoint accepts a few requests per second.
constexpr Duration kColdEndpointsDelay = milliseconds(400);
// An ejected endpoint is tried again, and a crashed one is replaced, after
// about this time.
constexpr Duration kRecoveryDelay = milliseconds(500);
// Outages of the store last for seconds, and callers retry only a few times.
constexpr Duration kStoreOutageDelay = milliseconds(2'000);
// Until a prompt part that crashes endpoints is tried again.
constexpr Duration kCrashTrialDelay = std::chrono::seconds(30);
// The delay is shortened or lengthened by up to this fraction.
constexpr double kJitterShare = 0.4;
// A caller may wait for at most this share of the time that it has left.
// Callers of the deployments do not wait for more than a third of it.
constexpr double kMaxShareOfTimeLeft = 0.3;

Duration BaseDelayFor(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNotReady:
    case RefusalReason::kLeaving:
    case RefusalReason::kStaleConfiguration:
    case RefusalReason::kTooManyConnections:
    case RefusalReason::kEndpointUnreachable:
    case RefusalReason::kBuffersFull:
      return kOtherNodeDelay;
    case RefusalReason::kEndpointsCold:
      return kColdEndpointsDelay;
    case RefusalReason::kFleetStale:
      return kStoreOutageDelay;
    case RefusalReason::kCrashesEndpoints:
      return kCrashTrialDelay;
    case RefusalReason::kNoEndpoint:
    case RefusalReason::kEndpointBusy:
    case RefusalReason::kRetryLimit:
    case RefusalReason::kStreamOriginUnknown:
      return kRecoveryDelay;
    default:
      return Duration::zero();
  }
}

}  // namespace

Duration RetryAfterFor(RefusalReason reason,
                       double jitter,
                       std::optional<Duration> time_left,
                       Duration pause) {
  // A caller that came back within the pause would be refused again.
  const double factor = pause > Duration::zero()
                            ? 1 + kJitterShare * jitter
                            : 1 - kJitterShare + 2 * kJitterShare * jitter;
  auto delay =
      static_cast<double>(std::max(BaseDelayFor(reason), pause).count());
  if (time_left) {
    const double longest =
        kMaxShareOfTimeLeft * static_cast<double>(time_left->count());
    delay = std::clamp(longest / (1 + kJitterShare), 0.0, delay);
  }
  return Duration(static_cast<Duration::rep>(delay * factor));
}

std::string RetryAfterText(Duration time) {
  std::string text =
      std::to_string(std::chrono::duration<double>(time).count());
  return text.substr(0, text.find('.') + 3);
}

}  // namespace teaselthread
