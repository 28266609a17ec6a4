#ifndef TEASELTHREAD_EMULATOR_PLACEMENT_STRATEGY_H_
#define TEASELTHREAD_EMULATOR_PLACEMENT_STRATEGY_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libteaselthread/emulator/emulated_engine.h"
#include "libteaselthread/endpoints/endpoint_selector.h"
#include "libteaselthread/endpoints/full_engine_notices.h"
#include "libteaselthread/endpoints/prompt_part_demand.h"
#include "libteaselthread/routes/route_table.h"

namespace teaselthread::emulator {

using EnginePtr = std::unique_ptr<EmulatedEngine>;

// A gateway of the emulated fleet with its local, possibly outdated state.
struct EmulatedGateway {
  std::string name;
  std::string zone;
  std::vector<std::string> fleet;  // names of all gateways
  EndpointTable table;
  PromptPartDemand demand;
  FullEngineNotices notices;
  double service_requests = 0;  // of all gateways, as last exchanged
  uint32_t next_engine = 0;     // next index for round robin
};

// The engine that serves a request, and the engine to copy its cached prefix
// from. Both are indexes of engines.
struct Placement {
  size_t engine = 0;
  std::optional<size_t> copy_from;
};

// Chooses the engine for a request. The product's strategy and the baselines
// share this interface, so that experiments can compare them.
class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;
  virtual std::string_view name() const = 0;
  // Empty if the request has to wait for room at an engine.
  virtual std::optional<Placement> Place(EmulatedGateway& gateway,
                                         const std::vector<PromptPart>& prompt,
                                         const std::vector<EnginePtr>& engines,
                                         Timestamp now) = 0;
};

// The product's EndpointSelector, round robin, least requests by the
// gateway's estimates, hashing without a load bound, and an oracle that sees
// the actual load and cache of every engine.
std::vector<std::unique_ptr<PlacementStrategy>> AllStrategies(
    const ServiceSpec* service);

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_PLACEMENT_STRATEGY_H_
