#include "libteaselthread/endpoints/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "libteaselthread/endpoints/plain_selection.h"
#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

// From this many shared tokens on, another prefill costs more than sending the
// request to another availability zone: prefill of 1,000 tokens against 4 KB of
// traffic.
constexpr uint32_t kMinCrossZoneTokens = 1'000;
// A primary engine whose load would exceed this multiple of the mean load plus
// kLoadSlack is passed over for the next in rank. The resulting bound stays
// below the one that the operators set (cap_x times the mean, plus 3).
constexpr double kLoadMultiple = 1.6;
constexpr double kLoadSlack = 3;
// Limits the local requests at one engine to a multiple of this node's share of
// the load bound, but not below a few requests.
struct LocalLimit {
  double share_multiple;
  double min_requests;
};
constexpr LocalLimit kUsualLimit = {2, 3};
// While no more than kCrowdedShare of the engines are usable. They get twice
// the mean load or nearly so, which leaves little headroom.
constexpr LocalLimit kCrowdedLimit = {1.5, 2};
constexpr double kCrowdedShare = 0.6;
// While no more than this share of the engines are usable, as while one of up
// to six zones is evacuated, most of them are near the bound. At three
// quarters, engines that were added during an evacuation ended that state too
// early.
constexpr double kReducedShare = 0.85;
// Share of the operators' multiple of the mean load that is used. The rest is a
// margin, since loads are estimates.
constexpr double kUsableLoadMultiple = 0.9;
// The share of the headroom between the mean load and the bound that requests
// for one part may use. The rest is a margin: nodes that get few requests for a
// part underestimate its demand, and their requests all go to the first few
// engines.
constexpr double kPartHeadroomShare = 0.25;
// An endpoint of a plain service is busy from this share of its slots on.
constexpr double kBusyShare = 0.7;
// An engine that started this much later than another cannot be expected to
// hold the KV cache of the parts that hash to it. The engines of one deployment
// start within 2 s of each other.
constexpr uint64_t kMinStartGapMs = 4'000;

uint32_t SharedTokens(const std::vector<PromptPart>& prompt) {
  uint32_t tokens = 0;
  for (size_t i = 0; i + 1 < prompt.size(); ++i)
    tokens += prompt[i].tokens;
  return tokens;
}

std::vector<EndpointPtr> InZone(const std::vector<EndpointPtr>& endpoints,
                                const std::string& zone) {
  std::vector<EndpointPtr> local;
  std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(local),
               [&](const EndpointPtr& endpoint) {
                 return endpoint->record().zone == zone;
               });
  return local;
}

using EndpointIterator = std::vector<EndpointPtr>::iterator;

// Sorts the range by rendezvous weight for `part`, highest weight first.
void RankFor(const std::string& part,
             EndpointIterator begin,
             EndpointIterator end) {
  const RendezvousKey key(part);
  std::vector<std::pair<uint64_t, EndpointPtr>> ranked;
  ranked.reserve(static_cast<size_t>(end - begin));
  for (auto endpoint = begin; endpoint != end; ++endpoint)
    ranked.emplace_back(key.WeightOf((*endpoint)->record().id), *endpoint);
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  for (auto& [weight, endpoint] : ranked)
    *begin++ = std::move(endpoint);
}

// Reorders the first `count` endpoints by `unshared_part`, which few requests
// have in common, so that requests with the same affinity part are spread over
// them.
void RerankFirst(size_t count,
                 const std::string& unshared_part,
                 std::vector<EndpointPtr>* ranked) {
  if (count < 2)
    return;
  const auto end = ranked->begin() + std::min(count, ranked->size());
  RankFor(unshared_part, ranked->begin(), end);
}

double ServiceRequests(const std::vector<EndpointPtr>& endpoints,
                       const SelectionContext& context,
                       Timestamp now) {
  if (context.service_requests)
    return *context.service_requests;
  double total = 0;
  for (const EndpointPtr& endpoint : endpoints)
    total += endpoint->EstimatedLoad(now);
  return total;
}

// Number of engines over which the requests for one part are spread, so that
// each has headroom for its share of them on top of the mean load.
uint32_t EngineCountFor(double requests, double headroom) {
  const double engines = std::ceil(requests / (headroom * kPartHeadroomShare));
  return static_cast<uint32_t>(std::max(1.0, engines));
}

const EndpointPtr& LeastLoaded(const std::vector<EndpointPtr>& endpoints,
                               Timestamp now) {
  return *std::min_element(endpoints.begin(), endpoints.end(),
                           [&](const EndpointPtr& a, const EndpointPtr& b) {
                             return a->EstimatedLoad(now) / a->record().slots <
                                    b->EstimatedLoad(now) / b->record().slots;
                           });
}

// The multiple of the mean time that work takes at an engine, at least 1: a
// fast engine gets no more requests than the operators' bound allows. Relative
// to the mean, because a service that is slow as a whole has no better engine.
double RelativeSlowness(const EndpointState& engine,
                        double mean_slowness,
                        Timestamp now) {
  return std::max(1.0, engine.speed().Slowness(now) / mean_slowness);
}

double MeanSlowness(const std::vector<EndpointPtr>& endpoints, Timestamp now) {
  double total = 0;
  for (const EndpointPtr& endpoint : endpoints)
    total += endpoint->speed().Slowness(now);
  return total / static_cast<double>(endpoints.size());
}

// The engine with the fewest local requests, or the least loaded one of several
// such. If all nodes choose like this, their requests are spread evenly without
// any knowledge of each other's; the least loaded engine by counts would be the
// same one for all nodes until the next count.
const EndpointPtr& LeastUsed(const std::vector<EndpointPtr>& endpoints,
                             double mean_slowness,
                             Timestamp now) {
  const auto use = [&](const EndpointPtr& endpoint) {
    const double slowness = RelativeSlowness(*endpoint, mean_slowness, now);
    return std::pair((endpoint->local_requests() + 1) * slowness,
                     (endpoint->EstimatedLoad(now) + 1) * slowness);
  };
  return *std::min_element(endpoints.begin(), endpoints.end(),
                           [&](const EndpointPtr& a, const EndpointPtr& b) {
                             return use(a) < use(b);
                           });
}

// The local requests that an engine may have if its load is not to exceed
// `load_bound` while each of the `nodes` sends as much as this one.
double LocalBound(double load_bound, double usable_share, size_t nodes) {
  const LocalLimit& limit =
      usable_share <= kCrowdedShare ? kCrowdedLimit : kUsualLimit;
  return std::max(limit.min_requests, limit.share_multiple * load_bound /
                                          static_cast<double>(nodes));
}

double LoadBound(double mean_load) {
  return kLoadMultiple * mean_load + kLoadSlack;
}

bool IsBusy(const EndpointState& endpoint, Timestamp now) {
  return endpoint.EstimatedLoad(now) >= kBusyShare * endpoint.record().slots;
}

}  // namespace

const PromptPart& AffinityPart(const std::vector<PromptPart>& prompt) {
  if (prompt.size() < 2)
    return prompt.back();
  return *std::max_element(prompt.begin(), prompt.end() - 1,
                           [](const PromptPart& a, const PromptPart& b) {
                             return a.tokens < b.tokens;
                           });
}

std::string_view ToString(NoEndpointReason reason) {
  switch (reason) {
    case NoEndpointReason::kNoneAvailable:
      return "none-available";
    case NoEndpointReason::kAllPaused:
      return "all-paused";
    case NoEndpointReason::kAllCold:
      return "all-cold";
    case NoEndpointReason::kAllTried:
      return "all-tried";
    case NoEndpointReason::kAllAtBound:
      return "all-at-bound";
    case NoEndpointReason::kAllLimited:
      return "all-limited";
  }
  return "unknown";
}

namespace {

// The endpoints whose health allows a request, or all of them if that excludes
// more than half: then it is more likely that the health data is wrong than
// that most of the service has failed.
std::vector<EndpointPtr> HealthyOf(const std::vector<EndpointPtr>& endpoints,
                                   Timestamp now) {
  std::vector<EndpointPtr> healthy;
  std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(healthy),
               [&](const EndpointPtr& endpoint) {
                 return endpoint->health().Allows(now);
               });
  return healthy.size() * 2 >= endpoints.size() ? healthy : endpoints;
}

std::vector<EndpointPtr> NotLeaving(std::vector<EndpointPtr> endpoints,
                                    const EndpointTable& table) {
  std::erase_if(endpoints, [&](const EndpointPtr& endpoint) {
    return table.IsLeaving(*endpoint);
  });
  return endpoints;
}

// The engines among which a service's load is to be even, and their requests.
struct SharedLoad {
  std::vector<EndpointPtr> engines;
  double requests = 0;

  double mean() const { return requests / static_cast<double>(engines.size()); }
};

// The load of the engines `in_service`. Those with rate limits are left out
// unless all have one: they have little load because they take no more, and the
// mean would keep the others from taking what these do not.
SharedLoad MeasureSharedLoad(const std::vector<EndpointPtr>& in_service,
                             const RateLimitTable& limits,
                             const SelectionContext& context,
                             Timestamp now) {
  SharedLoad load{{}, ServiceRequests(in_service, context, now)};
  double limited_requests = 0;
  for (const EndpointPtr& engine : in_service) {
    if (limits.StatusOf(engine->record(), now))
      limited_requests += engine->EstimatedLoad(now);
    else
      load.engines.push_back(engine);
  }
  if (load.engines.empty())
    load.engines = in_service;
  else
    load.requests = std::max(0.0, load.requests - limited_requests);
  return load;
}

// Chooses one of the `usable` engines, all of which may receive the request.
// `load` is that of all engines in service, as the operators count it, but for
// limited ones: some engines receive requests from other nodes only, and those
// in evacuated zones or in a pause none at all.
SelectionResult SelectEngine(const std::vector<EndpointPtr>& usable,
                             const SharedLoad& load,
                             const SelectionQuery& query,
                             const SelectionContext& context,
                             Timestamp now) {
  std::vector<EndpointPtr> candidates = usable;
  if (SharedTokens(query.prompt) < kMinCrossZoneTokens) {
    std::vector<EndpointPtr> local = InZone(usable, context.zone);
    if (!local.empty())
      candidates = std::move(local);
  }
  Selection selection;
  selection.affinity_part = AffinityPart(query.prompt).id;
  selection.shared_tokens = SharedTokens(query.prompt);
  const double mean = load.mean();
  selection.load_bound = LoadBound(mean);
  selection.mean_load = mean;
  selection.engines_counted = static_cast<uint32_t>(load.engines.size());
  selection.engines_usable = static_cast<uint32_t>(usable.size());
  // Whether one more request keeps an engine within the bound. Its load is
  // known late, the local requests at once.
  const auto has_room = [&](const EndpointState& engine, double load_bound) {
    const double usable_share = static_cast<double>(usable.size()) /
                                static_cast<double>(load.engines.size());
    const size_t nodes = std::max<size_t>(1, context.nodes.size());
    return engine.EstimatedLoad(now) + 1 <= load_bound &&
           engine.local_requests() + 1 <=
               LocalBound(load_bound, usable_share, nodes);
  };
  const double mean_slowness = MeanSlowness(load.engines, now);
  RankFor(selection.affinity_part, candidates.begin(), candidates.end());
  selection.spread = EngineCountFor(query.affinity_share * load.requests,
                                    selection.load_bound - mean);
  RerankFirst(selection.spread, query.prompt.back().id, &candidates);
  for (const EndpointPtr& endpoint : candidates) {
    const double slowness = RelativeSlowness(*endpoint, mean_slowness, now);
    if (has_room(*endpoint, selection.load_bound / slowness)) {
      selection.endpoint = endpoint;
      return selection;
    }
    ++selection.rank;
  }
  selection.over_bound = true;
  selection.endpoint = LeastUsed(usable, mean_slowness, now);
  const double operators_bound =
      kUsableLoadMultiple * context.load_multiple * mean + kLoadSlack;
  if (!query.ignores_load_bound &&
      !has_room(*selection.endpoint, operators_bound)) {
    return NoEndpointReason::kAllAtBound;
  }
  return selection;
}

Selection SelectPlain(const std::vector<EndpointPtr>& usable,
                      const SelectionQuery& query,
                      const std::string& zone,
                      Timestamp now) {
  Selection selection;
  if (AnySpeedKnown(usable, now)) {
    selection.endpoint =
        SelectBySpeed(usable, {zone, query.work_time, query.seed}, now);
    selection.work_multiple = ExpectedWorkMultiple(*selection.endpoint, now);
    return selection;
  }
  const std::vector<EndpointPtr> local = InZone(usable, zone);
  if (!local.empty()) {
    const EndpointPtr& best = LeastLoaded(local, now);
    if (!IsBusy(*best, now)) {
      selection.endpoint = best;
      return selection;
    }
  }
  selection.endpoint = LeastLoaded(usable, now);
  return selection;
}

bool IsNewerThan(const EndpointState& endpoint, const EndpointState& other) {
  return endpoint.record().started_at_ms >
         other.record().started_at_ms + kMinStartGapMs;
}

// The engine that most likely holds the prompt's KV cache if the target does
// not. If the target is the primary engine and started later than others, this
// is the previous primary engine; for any other target it is the primary
// engine. Leaving engines are included, since they still serve copies.
std::optional<SocketAddress> KvSource(std::vector<EndpointPtr> running,
                                      const SelectionQuery& query,
                                      const EndpointState& target) {
  std::erase_if(running, [&](const EndpointPtr& endpoint) {
    return endpoint->health().ejected() || IsNewerThan(*endpoint, target);
  });
  RankFor(AffinityPart(query.prompt).id, running.begin(), running.end());
  const bool target_is_primary =
      !running.empty() && running.front().get() == &target;
  const auto source = std::find_if(
      running.begin(), running.end(), [&](const EndpointPtr& endpoint) {
        return target_is_primary ? IsNewerThan(target, *endpoint)
                                 : endpoint.get() != &target;
      });
  if (source == running.end())
    return std::nullopt;
  return (*source)->record().address;
}

}  // namespace

std::optional<double> EndpointSelector::ReducedLoadBound(
    const std::string& service,
    double requests,
    Timestamp now) const {
  const auto in_service =
      static_cast<double>(NotLeaving(table_->Running(service), *table_).size());
  const size_t usable = table_->Available(service, now).size();
  if (usable == 0 || static_cast<double>(usable) > kReducedShare * in_service)
    return std::nullopt;
  return LoadBound(requests / in_service);
}

SelectionResult EndpointSelector::Select(const SelectionQuery& query,
                                         const SelectionContext& context,
                                         Timestamp now) const {
  std::vector<EndpointPtr> available =
      table_->Available(query.service->name, now);
  if (context.versions) {
    std::erase_if(available, [&](const EndpointPtr& endpoint) {
      return !context.versions->Allows(endpoint->record());
    });
  }
  if (available.empty()) {
    return table_->ShortestPause(query.service->name, now)
               ? NoEndpointReason::kAllPaused
               : NoEndpointReason::kNoneAvailable;
  }
  std::vector<EndpointPtr> usable = available;
  std::erase_if(usable, [&](const EndpointPtr& endpoint) {
    return query.excluded.contains(endpoint->record().id);
  });
  if (usable.empty())
    return NoEndpointReason::kAllTried;
  const ColdStartLimit cold_limit{query.service->cold_requests_per_second *
                                      context.cold_over +
                                  context.cold_slack};
  std::erase_if(usable, [&](const EndpointPtr& endpoint) {
    if (!endpoint->IsCold(now))
      return false;
    const uint32_t share = ColdStartShare(cold_limit, endpoint->record().id,
                                          context.node, context.nodes);
    return !endpoint->cold_quota().Allows(share, now);
  });
  if (usable.empty())
    return NoEndpointReason::kAllCold;
  // After health is judged, since a limited endpoint makes no failing one
  // better.
  usable = HealthyOf(usable, now);
  const size_t healthy = usable.size();
  std::erase_if(usable, [&](const EndpointPtr& endpoint) {
    return !table_->rate_limits().Allows(endpoint->record(), now);
  });
  if (usable.empty())
    return NoEndpointReason::kAllLimited;
  Selection selection;
  if (!query.prompt.empty()) {
    const std::vector<EndpointPtr> running =
        table_->Running(query.service->name);
    const SharedLoad load =
        MeasureSharedLoad(HealthyOf(NotLeaving(running, *table_), now),
                          table_->rate_limits(), context, now);
    SelectionResult engine = SelectEngine(usable, load, query, context, now);
    if (std::holds_alternative<NoEndpointReason>(engine))
      return engine;
    selection = std::get<Selection>(engine);
    selection.kv_source = KvSource(running, query, *selection.endpoint);
  } else {
    selection = SelectPlain(usable, query, context.zone, now);
  }
  selection.limited = static_cast<uint32_t>(healthy - usable.size());
  return selection;
}

}  // namespace teaselthread
