#include "libteaselthread/membership/fleet_view.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace teaselthread {
namespace {

// Part of the multiple that is held back, because the mean is known late and
// may have fallen meanwhile.
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
    if (!EndpointDirectory::TakesNewWork(*other, document))
      continue;
    total += loads->RecentLoadOf(other->name, now);
    ++count;
  }
  const double mean = count == 0 ? 0 : total / static_cast<double>(count);
  const double reserved = policy.load_multiple * (1 - kStaleMeanReserve) * mean;
  // An endpoint at or below the mean may always be given one more, without
  // which a fleet at low load would stand still.
  const int at_least = static_cast<int>(mean) + 1;
  return std::max(at_least, static_cast<int>(reserved));
}

}  // namespace teaselthread
