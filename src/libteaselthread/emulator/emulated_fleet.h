#ifndef TEASELTHREAD_EMULATOR_EMULATED_FLEET_H_
#define TEASELTHREAD_EMULATOR_EMULATED_FLEET_H_

#include <memory>
#include <random>
#include <vector>

#include "libteaselthread/emulator/placement_strategy.h"
#include "libteaselthread/emulator/scenario.h"
#include "libteaselthread/emulator/virtual_clock.h"

namespace teaselthread::emulator {

// What came of the requests that began within one stretch of five seconds.
struct WindowCounts {
  uint32_t requests = 0;
  uint32_t over_bound = 0;  // sent to an engine above 2 x mean + 3
  uint32_t in_time = 0;     // first token within the objective
};

struct FleetResult {
  std::vector<WindowCounts> windows;
  std::vector<double> first_token_seconds;  // in order of arrival of tokens
  uint64_t requests = 0;
  uint64_t in_time = 0;
  uint64_t tokens_read = 0;
  uint64_t tokens_reused = 0;
  uint64_t tokens_copied = 0;
  uint32_t most_load = 0;  // of an engine

  // `share` 0.5 is the median. Zero without any request.
  double FirstTokenQuantile(double share) const;
};

// Gateways and engines in virtual time, under the load of a scenario. Each
// gateway knows what it has sent, what answers reported, and what the others
// tell: sums at once, news of busy engines to a few.
// Load pattern: that of the scenario; the same for each strategy.
class EmulatedFleet {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(5);
  // That all engines are of.
  static constexpr const char* kServiceName = "pool";

  EmulatedFleet(const Scenario* scenario, uint64_t seed);
  EmulatedFleet(const EmulatedFleet&) = delete;
  EmulatedFleet& operator=(const EmulatedFleet&) = delete;

  // Only once for each fleet.
  FleetResult Run(PlacementStrategy* strategy);

 private:
  std::unique_ptr<EmulatedGateway> MakeGateway(uint32_t index) const;
  std::string ZoneName(uint32_t index) const;
  void ScheduleArrival(const ChatClass& chat_class);
  std::vector<PromptPart> DrawPrompt(const ChatClass& chat_class);
  void Serve(const ChatClass& chat_class);
  void Send(EmulatedGateway& gateway,
            const Placement& placement,
            const ChatClass& chat_class,
            std::vector<PromptPart> prompt);
  WindowCounts& CurrentWindow();
  void CountSend(size_t engine);
  void ShareSums();
  void ShareNews();
  void Crash();
  Duration Elapsed() const;

  const Scenario* scenario_;
  VirtualClock clock_;
  // Of the load, the same for all strategies, and of everything else.
  std::mt19937_64 load_random_;
  std::mt19937_64 random_;
  PlacementStrategy* strategy_ = nullptr;
  std::vector<EnginePtr> engines_;
  std::vector<std::unique_ptr<EmulatedGateway>> gateways_;
  uint64_t prompts_ = 0;
  uint32_t under_way_ = 0;
  FleetResult result_;
};

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_EMULATED_FLEET_H_
