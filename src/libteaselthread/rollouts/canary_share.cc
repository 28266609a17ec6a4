#include "libteaselthread/rollouts/canary_share.h"

#include <algorithm>

namespace teaselthread {
namespace {

// The slack becomes available over this share of the order's time, so that the
// requests of all nodes do not meet at the few canary endpoints.
constexpr double kSlackTimeShare = 0.25;
// A route may be this many canary requests ahead of the one with the fewest, or
// further if the allowance for this many others is left.
constexpr uint32_t kMaxLead = 1;
constexpr double kSpareRequests = 2;
// Routes beyond this number share their counts.
constexpr size_t kMaxRoutes = 64;

}  // namespace

bool CanaryShare::Allows(uint32_t route,
                         size_t nodes,
                         double elapsed_share) const {
  const double slack = limits_.expose_slack /
                       static_cast<double>(std::max<size_t>(1, nodes)) *
                       std::clamp(elapsed_share / kSlackTimeShare, 0.0, 1.0);
  const double allowance =
      kUsedPart * (limits_.expose_share * (sends_ + 1) + slack) + rounding_;
  const double left = allowance - (target_sends_ + 1);
  if (left < 0)
    return false;
  const auto own = target_sends_by_route_.find(route);
  if (left >= kSpareRequests || own == target_sends_by_route_.end())
    return true;
  const auto fewest = std::min_element(
      target_sends_by_route_.begin(), target_sends_by_route_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return own->second <= fewest->second + kMaxLead;
}

void CanaryShare::OnSend(uint32_t route, bool to_target) {
  ++sends_;
  target_sends_ += to_target ? 1 : 0;
  const bool is_known = target_sends_by_route_.contains(route);
  if (is_known || target_sends_by_route_.size() < kMaxRoutes)
    target_sends_by_route_[route] += to_target ? 1 : 0;
}

}  // namespace teaselthread
