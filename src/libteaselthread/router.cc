#include "libteaselthread/router.h"

#include <algorithm>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

constexpr Duration kRetryAfter = std::chrono::milliseconds(1'000);

}  // namespace

std::variant<Placement, RefusedNotRun> Router::Place(
    const PlacementQuery& query,
    Timestamp now) const {
  if (!fleet_.configuration->current())
    return RefusedNotRun{RefusalReason::kNotReady, kRetryAfter};
  const std::vector<const Endpoint*> usable = Usable(query);
  if (usable.empty())
    return RefusedNotRun{RefusalReason::kNoEndpoint, kRetryAfter};
  for (const Endpoint* endpoint : usable) {
    if (query.busy.contains(endpoint->name))
      continue;
    if (endpoint->name == query.hint)
      return PlaceAt(*endpoint, ContextWait(*endpoint));
    if (HasCapacity(*endpoint, now))
      return PlaceAt(*endpoint, Duration::zero());
  }
  const auto least_loaded = std::min_element(
      usable.begin(), usable.end(), [this](const auto* a, const auto* b) {
        return fleet_.loads->LoadOf(a->name) < fleet_.loads->LoadOf(b->name);
      });
  return PlaceAt(**least_loaded, Placement::kUntilDeadline);
}

std::vector<const Endpoint*> Router::Usable(const PlacementQuery& query) const {
  std::vector<const Endpoint*> usable =
      fleet_.directory->Serving(query.kind, query.target);
  std::erase_if(usable, [&](const Endpoint* endpoint) {
    return query.excluded.contains(endpoint->name) ||
           !EndpointDirectory::AcceptsNewRequests(
               *endpoint, *fleet_.configuration->current());
  });
  struct Ranked {
    bool is_hint;
    uint64_t weight;
    const Endpoint* endpoint;
    auto operator<=>(const Ranked&) const = default;
  };
  const RendezvousKey key(query.affinity);
  std::vector<Ranked> ranked;
  ranked.reserve(usable.size());
  for (const Endpoint* endpoint : usable) {
    ranked.push_back(
        {endpoint->name == query.hint, key.WeightOf(endpoint->name), endpoint});
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::transform(ranked.begin(), ranked.end(), usable.begin(),
                 [](const Ranked& item) { return item.endpoint; });
  return usable;
}

Duration Router::ContextWait(const Endpoint& endpoint) const {
  const EndpointPolicy* policy = fleet_.PolicyOf(endpoint);
  return policy ? policy->context_wait : Duration::zero();
}

bool Router::HasCapacity(const Endpoint& endpoint, Timestamp now) const {
  const EndpointPolicy* policy = fleet_.PolicyOf(endpoint);
  if (!policy)
    return false;
  const EndpointLoad* report = fleet_.loads->Find(endpoint.name);
  if (!report)
    return true;
  const int temperature_limit =
      report->temperature == EndpointTemperature::kCold
          ? policy->cold_concurrency
          : policy->slots;
  const int limit =
      std::min(temperature_limit, fleet_.LoadBoundOf(endpoint, *policy, now));
  return static_cast<int>(report->load) < limit;
}

std::variant<Placement, RefusedNotRun> Router::PlaceAt(
    const Endpoint& endpoint,
    Duration max_wait) const {
  const Member* owner = owners_.OwnerOf(endpoint);
  if (!owner)
    return RefusedNotRun{RefusalReason::kNoEndpoint, kRetryAfter};
  return Placement{endpoint.name, owner->name, max_wait};
}

}  // namespace teaselthread
