#include "libteaselthread/rollouts/rollout_counters.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace teaselthread {

SideCounters& SideCounters::operator+=(const SideCounters& other) {
  responses += other.responses;
  failures += other.failures;
  timed += other.timed;
  slow += other.slow;
  return *this;
}

RouteCounters& RouteCounters::operator+=(const RouteCounters& other) {
  old_side += other.old_side;
  target += other.target;
  return *this;
}

RolloutCounters& RolloutCounters::operator+=(const RolloutCounters& other) {
  for (const auto& [route, counters] : other.routes)
    routes[route] += counters;
  return *this;
}

RouteCounters RolloutCounters::Total() const {
  RouteCounters total;
  for (const auto& [route, counters] : routes)
    total += counters;
  return total;
}

uint64_t RolloutCounters::ResponseCount() const {
  const RouteCounters total = Total();
  return uint64_t{total.old_side.responses} + total.target.responses;
}

RolloutCounters RolloutCounters::Compacted() const {
  std::vector<std::pair<uint32_t, uint32_t>> ranked;  // responses, route
  for (const auto& [route, counters] : routes) {
    if (route != kOtherRoutes)
      ranked.emplace_back(counters.target.responses, route);
  }
  if (ranked.size() <= kMaxRoutes)
    return *this;
  std::sort(ranked.rbegin(), ranked.rend());
  RolloutCounters compacted = *this;
  for (size_t i = kMaxRoutes; i < ranked.size(); ++i) {
    compacted.routes[kOtherRoutes] += routes.at(ranked[i].second);
    compacted.routes.erase(ranked[i].second);
  }
  return compacted;
}

}  // namespace teaselthread
