#include "libteaselthread/rate_limits/return_schedule.h"

#include <algorithm>

namespace teaselthread {
namespace {

// The time in which there is room for `requests` more.
Duration TimeFor(double requests, const RateLimitRoom& room) {
  constexpr double kMaxSeconds =
      std::chrono::duration<double>(ReturnSchedule::kMaxReturnTime).count();
  if (requests <= 0)
    return Duration::zero();
  const double seconds =
      room.requests_per_second > 0
          ? std::min(kMaxSeconds, requests / room.requests_per_second)
          : kMaxSeconds;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

std::optional<Duration> ReturnSchedule::ExpectedWait(const RateLimitRoom& room,
                                                     size_t ahead) {
  if (!room.until_next)
    return std::nullopt;
  return *room.until_next + TimeFor(static_cast<double>(ahead), room);
}

Duration ReturnSchedule::Next(const RateLimitRoom& room,
                              size_t waiting,
                              Timestamp now) {
  const Duration wait =
      ExpectedWait(room, waiting).value_or(Duration(kOtherNodeTime));
  const Timestamp after_last = last_return_at_ + TimeFor(1, room);
  const Timestamp latest = now + kMaxReturnTime;
  last_return_at_ = std::min(std::max(now + wait, after_last), latest);
  return last_return_at_ - now;
}

}  // namespace teaselthread
