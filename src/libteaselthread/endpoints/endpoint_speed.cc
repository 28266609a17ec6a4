#include "libteaselthread/endpoints/endpoint_speed.h"

#include <algorithm>
#include <cmath>

namespace teaselthread {
namespace {

// The figure changes many times a second. Shorter changes than this have ended
// before a request that was sent because of them has been served.
constexpr Duration kSmoothingTime = std::chrono::milliseconds(300);
// From the latest report until the value is the usual one again.
constexpr Duration kReportLifetime = std::chrono::milliseconds(2'000);
// Limits the effect of a wrong figure.
constexpr double kMinSlowness = 0.25;
constexpr double kMaxSlowness = 20;
// Weight of one response in the mean work time.
constexpr double kResponseWeight = 1.0 / 16;
constexpr Duration kDefaultWorkTime = std::chrono::milliseconds(50);

}  // namespace

void EndpointSpeed::OnReport(uint32_t percent, Timestamp reported_at) {
  if (percent == 0 || (reported_at_ && *reported_at_ > reported_at))
    return;
  const double reported =
      std::clamp(percent / 100.0, kMinSlowness, kMaxSlowness);
  if (!IsKnown(reported_at)) {
    slowness_ = reported;
  } else {
    const double elapsed =
        static_cast<double>((reported_at - *reported_at_).count());
    const double weight = 1 - std::exp(-elapsed / kSmoothingTime.count());
    // Starts from the smoothed value itself and not from the decayed one: a
    // steady figure must not appear lower than it is.
    slowness_ += weight * (reported - slowness_);
  }
  reported_at_ = reported_at;
}

double EndpointSpeed::Slowness(Timestamp now) const {
  if (!IsKnown(now))
    return 1;
  const Duration age = std::max(Duration::zero(), now - *reported_at_);
  const double weight =
      1 - static_cast<double>(age.count()) / kReportLifetime.count();
  return 1 + weight * (slowness_ - 1);
}

bool EndpointSpeed::IsKnown(Timestamp now) const {
  return reported_at_ && now - *reported_at_ < kReportLifetime;
}

void UsualWorkTime::OnResponse(Duration elapsed, double multiple) {
  if (elapsed <= Duration::zero() || multiple <= 0)
    return;
  const double sample = static_cast<double>(elapsed.count()) / multiple;
  mean_ = mean_ ? *mean_ + kResponseWeight * (sample - *mean_) : sample;
}

Duration UsualWorkTime::Estimate() const {
  return mean_ ? Duration(static_cast<Duration::rep>(*mean_))
               : kDefaultWorkTime;
}

}  // namespace teaselthread
