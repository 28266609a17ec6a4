#include "libteaselthread/slow_start.h"

#include <algorithm>

namespace teaselthread {

SlowStart SlowStart::AlreadyWarm() {
  SlowStart state;
  state.warm_since_ = Timestamp::min();
  return state;
}

int SlowStart::Limit(const EndpointPolicy& policy, Timestamp now) const {
  if (!warm_since_)
    return std::min(policy.cold_concurrency, policy.slots);
  if (*warm_since_ == Timestamp::min() || now - *warm_since_ >= policy.ramp)
    return policy.slots;
  const double progress = static_cast<double>((now - *warm_since_).count()) /
                          static_cast<double>(policy.ramp.count());
  const int span = std::max(policy.slots - policy.cold_concurrency, 0);
  return std::min(policy.cold_concurrency, policy.slots) +
         static_cast<int>(progress * span);
}

void SlowStart::OnReport(EndpointTemperature reported,
                         Duration report_lag,
                         Timestamp now) {
  if (reported == EndpointTemperature::kCold) {
    warm_since_.reset();
    return;
  }
  if (cold_seen_at_ && now - *cold_seen_at_ <= report_lag)
    return;
  cold_seen_at_.reset();
  if (!warm_since_)
    warm_since_ = now;
}

void SlowStart::OnFirstByte(Duration latency,
                            const EndpointPolicy& policy,
                            Timestamp now) {
  if (latency <= policy.cold_first_byte)
    return;
  warm_since_.reset();
  cold_seen_at_ = now;
}

}  // namespace teaselthread
