#include "libteaselthread/membership/fleet_view.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace teaselthread {
namespace {

// Fraction of the load multiple that is kept in reserve, because the known mean
// is delayed and may have fallen in the meantime.
constexpr double kStaleMeanReserve = 0.20;

}  // namespace

const EndpointPolicy* FleetView::PolicyOf(const Endpoint& endpoint) const {
  if (!configuration->current() || endpoint.serves.empty())
    return nullptr;
  const std::string& target = endpoint.serves.front();
  return endpoint.kind == EndpointKind::kModelEngine
             ? configuration->current()->FindModel(target)
             : configuration->current()->FindService(target);
}

int FleetView::LoadBoundOf(const Endpoint& endpoint,
                           const EndpointPolicy& policy,
                           Timestamp now) const {
  if (endpoint.kind == EndpointKind::kService)
    return std::numeric_limits<int>::max();
  const Configuration& document = *configuration->current();
  double total = 0;
  size_t count = 0;
  for (const Endpoint* other :
       directory->Serving(endpoint.kind, endpoint.serves.front())) {
    if (!EndpointDirectory::AcceptsNewRequests(*other, document))
      continue;
    total += loads->RecentLoadOf(other->name, now);
    ++count;
  }
  const double mean = count == 0 ? 0 : total / static_cast<double>(count);
  const double reduced_bound =
      policy.load_multiple * (1 - kStaleMeanReserve) * mean;
  // An endpoint at or below the mean may always take one more request.
  // Otherwise, a fleet at low load would admit nothing.
  const int minimum = static_cast<int>(mean) + 1;
  return std::max(minimum, static_cast<int>(reduced_bound));
}

}  // namespace teaselthread
