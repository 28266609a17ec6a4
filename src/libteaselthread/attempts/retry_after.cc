#include "libteaselthread/attempts/retry_after.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Callers return on a new connection, which goes to another node mostly.
constexpr Duration kOtherNode = milliseconds(50);
// A cold endpoint takes a few requests in each second.
constexpr Duration kColdEndpoints = milliseconds(400);
// An ejected or crashed endpoint is tried again, or replaced, after about that.
constexpr Duration kRecovery = milliseconds(500);
// Waiting is shortened or lengthened by up to this share.
constexpr double kSpread = 0.4;

Duration BaseFor(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNotReady:
    case RefusalReason::kLeaving:
    case RefusalReason::kStaleConfiguration:
    case RefusalReason::kTooManyConnections:
    case RefusalReason::kEndpointUnreachable:
      return kOtherNode;
    case RefusalReason::kEndpointsCold:
      return kColdEndpoints;
    case RefusalReason::kNoEndpoint:
    case RefusalReason::kEndpointBusy:
    case RefusalReason::kRetryLimit:
      return kRecovery;
    default:
      return Duration::zero();
  }
}

}  // namespace

Duration RetryAfterFor(RefusalReason reason, double spread) {
  const double factor = 1 - kSpread + 2 * kSpread * spread;
  return Duration(static_cast<Duration::rep>(BaseFor(reason).count() * factor));
}

}  // namespace teaselthread
