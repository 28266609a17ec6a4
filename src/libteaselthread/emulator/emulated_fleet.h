#ifndef TEASELTHREAD_EMULATOR_EMULATED_FLEET_H_
#define TEASELTHREAD_EMULATOR_EMULATED_FLEET_H_

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libteaselthread/emulator/placement_strategy.h"
#include "libteaselthread/emulator/scenario.h"
#include "libteaselthread/emulator/virtual_clock.h"

namespace teaselthread::emulator {

// Counts of the requests that arrived in one five-second window.
struct WindowStats {
  uint32_t requests = 0;
  uint32_t over_bound = 0;  // sent to an engine with load above 2 x mean + 3
  uint32_t in_time = 0;     // first token within the objective
};

struct FleetResult {
  std::vector<WindowStats> windows;
  std::vector<double> first_token_seconds;  // in order of the first tokens
  uint64_t requests = 0;
  uint64_t in_time = 0;
  uint64_t tokens_prefilled = 0;
  uint64_t tokens_reused = 0;
  uint64_t tokens_copied = 0;
  uint32_t max_load = 0;  // highest load of any engine

  // `share` 0.5 gives the median. Returns 0 if there were no first tokens.
  double FirstTokenQuantile(double share) const;
};

// Simulates gateways and engines in virtual time under the load of a scenario.
// Each gateway knows its own requests, the loads that responses report, and
// what other gateways send: all gateways receive new request totals at the same
// time, and a few receive load updates of the busiest engines.
// The load depends only on the scenario and the seed, not on the strategy.
class EmulatedFleet {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(5);
  // The service of all engines.
  static constexpr const char* kServiceName = "pool";

  EmulatedFleet(const Scenario* scenario, uint64_t seed);
  EmulatedFleet(const EmulatedFleet&) = delete;
  EmulatedFleet& operator=(const EmulatedFleet&) = delete;

  // May be called only once per fleet.
  FleetResult Run(PlacementStrategy* strategy);

 private:
  std::unique_ptr<EmulatedGateway> MakeGateway(uint32_t index) const;
  std::string ZoneName(uint32_t index) const;
  void ScheduleArrival(const ChatClass& chat_class);
  std::vector<PromptPart> GeneratePrompt(const ChatClass& chat_class);
  void OnArrival(const ChatClass& chat_class);
  // Sends the request, or waits until there is room for it.
  void Place(EmulatedGateway& gateway,
             const ChatClass& chat_class,
             const std::vector<PromptPart>& prompt,
             Timestamp arrived_at);
  void Send(EmulatedGateway& gateway,
            const Placement& placement,
            const ChatClass& chat_class,
            std::vector<PromptPart> prompt,
            Timestamp arrived_at);
  WindowStats& CurrentWindow();
  void CountSend(size_t engine);
  void ExchangeRequestTotals();
  void SendLoadUpdates();
  // Sends the counts of full engines to the gateways of the same zone.
  void SendNotices();
  void Crash();
  void SetEvacuatedZones(const std::set<std::string>& zones);
  // A share of the engines get no new requests from now on.
  void Drain();
  EndpointRecord MakeRecord(uint32_t index) const;
  Duration Elapsed() const;

  const Scenario* scenario_;
  VirtualClock clock_;
  // The load has its own generator, so that it is the same for all strategies;
  // `random_` is for everything else.
  std::mt19937_64 load_random_;
  std::mt19937_64 random_;
  PlacementStrategy* strategy_ = nullptr;
  std::vector<EnginePtr> engines_;
  std::vector<std::unique_ptr<EmulatedGateway>> gateways_;
  uint64_t prompt_count_ = 0;
  uint32_t running_requests_ = 0;
  std::set<size_t> draining_;  // indexes of engines
  FleetResult result_;
};

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_EMULATED_FLEET_H_
