#include "libteaselthread/rate_limits/return_schedule.h"

#include <algorithm>

namespace teaselthread {
namespace {

// The time in which there is room for `requests` more.
Duration TimeFor(double requests, double rate) {
  using Seconds = std::chrono::duration<double>;
  constexpr double kMaxSeconds =
      Seconds(ReturnSchedule::kMaxReturnTime).count();
  if (requests <= 0)
    return Duration::zero();
  const double seconds =
      rate > 0 ? std::min(kMaxSeconds, requests / rate) : kMaxSeconds;
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

}  // namespace

std::optional<Duration> ReturnSchedule::ExpectedWait(const RateLimitRoom& room,
                                                     size_t ahead) {
  if (!room.until_next)
    return std::nullopt;
  return *room.until_next + TimeFor(static_cast<double>(ahead), room.own_rate);
}

Duration ReturnSchedule::Next(const RateLimitRoom& room,
                              size_t waiting,
                              Timestamp now) {
  if (room.mean_rate <= 0)
    return kOtherNodeTime;
  const Duration wait =
      ExpectedWait(room, waiting).value_or(Duration(kOtherNodeTime));
  const Timestamp after_last =
      last_return_at_ + TimeFor(1, std::max(room.own_rate, room.mean_rate));
  const Timestamp latest = now + kMaxReturnTime;
  last_return_at_ = std::min(std::max(now + wait, after_last), latest);
  return last_return_at_ - now;
}

}  // namespace teaselthread
