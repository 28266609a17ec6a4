#include "libteaselthread/requests/leaving_schedule.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Covers the time between a caller's look-up and its first request.
constexpr Duration kLateRequestPeriod = milliseconds(1'500);
// The process exits this long before it would be killed.
constexpr Duration kShutdownMargin = milliseconds(500);

}  // namespace

LeavingSchedule LeavingSchedule::Begin(Timestamp now, Duration grace) {
  const Timestamp exits_at =
      now + std::max(grace - kShutdownMargin, Duration::zero());
  return {std::min(now + kLateRequestPeriod, exits_at), exits_at};
}

}  // namespace teaselthread
