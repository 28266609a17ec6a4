#include "libteaselthread/emulator/placement_strategy.h"

#include <algorithm>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread::emulator {
namespace {

// Prompt tokens that an engine can prefill in the time it generates one token
// for each request. The oracle uses it to convert load into prefill tokens.
constexpr double kPrefillTokensPerRequest = 600;

size_t IndexOf(const EndpointState& endpoint) {
  return std::stoul(endpoint.record().id);
}

class ProductPlacement : public PlacementStrategy {
 public:
  explicit ProductPlacement(const ServiceSpec* service) : service_(service) {}

  std::string_view name() const override { return "product"; }

  std::optional<Placement> Place(EmulatedGateway& gateway,
                                 const std::vector<PromptPart>& prompt,
                                 const std::vector<EnginePtr>& /*engines*/,
                                 Timestamp now) override {
    SelectionQuery query;
    query.service = service_;
    query.prompt = prompt;
    query.affinity_share =
        gateway.demand.ShareOf(service_->name, AffinityPart(prompt).id, now);
    SelectionContext context;
    context.zone = gateway.zone;
    context.node = gateway.name;
    context.nodes = gateway.fleet;
    context.service_requests = gateway.service_requests;
    const EndpointSelector selector(&gateway.table);
    const SelectionResult result = selector.Select(query, context, now);
    if (std::holds_alternative<NoEndpointReason>(result))
      return std::nullopt;
    const Selection& selection = std::get<Selection>(result);
    Placement placement{IndexOf(*selection.endpoint), std::nullopt};
    if (selection.kv_source)
      placement.copy_from = selection.kv_source->port;
    return placement;
  }

 private:
  const ServiceSpec* service_;
};

class RoundRobin : public PlacementStrategy {
 public:
  std::string_view name() const override { return "round robin"; }

  std::optional<Placement> Place(EmulatedGateway& gateway,
                                 const std::vector<PromptPart>& /*prompt*/,
                                 const std::vector<EnginePtr>& engines,
                                 Timestamp /*now*/) override {
    return Placement{gateway.next_engine++ % engines.size(), std::nullopt};
  }
};

class LeastRequests : public PlacementStrategy {
 public:
  explicit LeastRequests(const ServiceSpec* service) : service_(service) {}

  std::string_view name() const override { return "least requests"; }

  std::optional<Placement> Place(EmulatedGateway& gateway,
                                 const std::vector<PromptPart>& /*prompt*/,
                                 const std::vector<EnginePtr>& /*engines*/,
                                 Timestamp now) override {
    const std::vector<EndpointPtr> all =
        gateway.table.Available(service_->name, now);
    const auto least_loaded =
        std::min_element(all.begin(), all.end(),
                         [now](const EndpointPtr& a, const EndpointPtr& b) {
                           return a->EstimatedLoad(now) < b->EstimatedLoad(now);
                         });
    return Placement{IndexOf(**least_loaded), std::nullopt};
  }

 private:
  const ServiceSpec* service_;
};

class RendezvousHashing : public PlacementStrategy {
 public:
  std::string_view name() const override { return "hash"; }

  std::optional<Placement> Place(EmulatedGateway& /*gateway*/,
                                 const std::vector<PromptPart>& prompt,
                                 const std::vector<EnginePtr>& engines,
                                 Timestamp /*now*/) override {
    const RendezvousKey key(AffinityPart(prompt).id);
    size_t best = 0;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < engines.size(); ++i) {
      const uint64_t weight = key.WeightOf(std::to_string(i));
      if (weight > best_weight) {
        best = i;
        best_weight = weight;
      }
    }
    return Placement{best, std::nullopt};
  }
};

class Oracle : public PlacementStrategy {
 public:
  std::string_view name() const override { return "oracle"; }

  std::optional<Placement> Place(EmulatedGateway& /*gateway*/,
                                 const std::vector<PromptPart>& prompt,
                                 const std::vector<EnginePtr>& engines,
                                 Timestamp /*now*/) override {
    const auto cost = [&](const EnginePtr& engine) {
      return engine->load() * kPrefillTokensPerRequest -
             static_cast<double>(engine->cache().CachedTokens(prompt));
    };
    const auto least_loaded =
        std::min_element(engines.begin(), engines.end(),
                         [&](const EnginePtr& a, const EnginePtr& b) {
                           return cost(a) < cost(b);
                         });
    const auto most_cached =
        std::max_element(engines.begin(), engines.end(),
                         [&](const EnginePtr& a, const EnginePtr& b) {
                           return a->cache().CachedTokens(prompt) <
                                  b->cache().CachedTokens(prompt);
                         });
    return Placement{static_cast<size_t>(least_loaded - engines.begin()),
                     static_cast<size_t>(most_cached - engines.begin())};
  }
};

}  // namespace

std::vector<std::unique_ptr<PlacementStrategy>> AllStrategies(
    const ServiceSpec* service) {
  std::vector<std::unique_ptr<PlacementStrategy>> all;
  all.push_back(std::make_unique<ProductPlacement>(service));
  all.push_back(std::make_unique<RoundRobin>());
  all.push_back(std::make_unique<LeastRequests>(service));
  all.push_back(std::make_unique<RendezvousHashing>());
  all.push_back(std::make_unique<Oracle>());
  return all;
}

}  // namespace teaselthread::emulator
