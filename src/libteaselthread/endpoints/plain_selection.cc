#include "libteaselthread/endpoints/plain_selection.h"

#include <algorithm>
#include <cmath>

#include "libteaselthread/endpoints/random_sequence.h"

namespace teaselthread {
namespace {

// Time to another availability zone and back. One way takes up to 4.4 ms.
constexpr Duration kZoneRoundTrip = std::chrono::microseconds(8'800);

double ExpectedTime(const EndpointState& endpoint,
                    const PlainQuery& query,
                    Timestamp now) {
  const double work = static_cast<double>(query.work_time.count()) *
                      ExpectedWorkMultiple(endpoint, now);
  const bool is_local = endpoint.record().zone == query.zone;
  return is_local ? work : work + static_cast<double>(kZoneRoundTrip.count());
}

// Two different random elements of `endpoints`, or all if it has fewer.
void AppendTwoOf(const std::vector<EndpointPtr>& endpoints,
                 uint64_t* state,
                 std::vector<EndpointPtr>* chosen) {
  if (endpoints.empty())
    return;
  const size_t first = NextRandom(state) % endpoints.size();
  chosen->push_back(endpoints[first]);
  if (endpoints.size() == 1)
    return;
  const size_t distance = 1 + NextRandom(state) % (endpoints.size() - 1);
  chosen->push_back(endpoints[(first + distance) % endpoints.size()]);
}

}  // namespace

double ExpectedWorkMultiple(const EndpointState& endpoint, Timestamp now) {
  const double rounds =
      std::ceil((endpoint.EstimatedLoad(now) + 1) / endpoint.slots());
  return rounds * endpoint.speed().Slowness(now);
}

bool AnySpeedKnown(const std::vector<EndpointPtr>& endpoints, Timestamp now) {
  return std::any_of(endpoints.begin(), endpoints.end(),
                     [&](const EndpointPtr& endpoint) {
                       return endpoint->speed().IsKnown(now);
                     });
}

EndpointPtr SelectBySpeed(const std::vector<EndpointPtr>& usable,
                          const PlainQuery& query,
                          Timestamp now) {
  std::vector<EndpointPtr> local;
  std::vector<EndpointPtr> remote;
  for (const EndpointPtr& endpoint : usable)
    (endpoint->record().zone == query.zone ? local : remote)
        .push_back(endpoint);
  uint64_t state = query.seed;
  std::vector<EndpointPtr> candidates;
  AppendTwoOf(local, &state, &candidates);
  AppendTwoOf(remote, &state, &candidates);
  return *std::min_element(candidates.begin(), candidates.end(),
                           [&](const EndpointPtr& a, const EndpointPtr& b) {
                             return ExpectedTime(*a, query, now) <
                                    ExpectedTime(*b, query, now);
                           });
}

}  // namespace teaselthread
