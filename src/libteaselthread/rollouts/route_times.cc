#include "libteaselthread/rollouts/route_times.h"

#include <algorithm>

namespace teaselthread {
namespace {

// A response is slow if it took more than this multiple of the mean.
constexpr double kSlowMultiple = 2.5;
// ... and more than this longer: two round trips between zones, of up to 4.4 ms
// one way, for a new connection and the request.
constexpr Duration kMinSlowExcess = std::chrono::milliseconds(20);
// The mean of fewer responses says little.
constexpr uint32_t kMinResponses = 5;
// Weight of a new response once the mean is known.
constexpr double kMinWeight = 1.0 / 64;
constexpr size_t kMaxMeans = 1'024;

}  // namespace

void RouteTimes::OnResponse(const std::string& service,
                            uint32_t route,
                            Duration time) {
  const Key key(service, route);
  if (means_.size() >= kMaxMeans && !means_.contains(key))
    return;
  Mean& mean = means_[key];
  ++mean.responses;
  const double weight = std::max(kMinWeight, 1.0 / mean.responses);
  mean.microseconds +=
      weight * (static_cast<double>(time.count()) - mean.microseconds);
}

bool RouteTimes::IsKnown(const std::string& service, uint32_t route) const {
  const auto found = means_.find({service, route});
  return found != means_.end() && found->second.responses >= kMinResponses;
}

bool RouteTimes::IsSlow(const std::string& service,
                        uint32_t route,
                        Duration time) const {
  const auto found = means_.find({service, route});
  if (found == means_.end())
    return false;
  const double mean = found->second.microseconds;
  return static_cast<double>(time.count()) > kSlowMultiple * mean &&
         static_cast<double>((time - kMinSlowExcess).count()) > mean;
}

}  // namespace teaselthread
