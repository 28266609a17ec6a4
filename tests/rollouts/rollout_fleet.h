#ifndef TEASELTHREAD_TESTS_ROLLOUTS_ROLLOUT_FLEET_H_
#define TEASELTHREAD_TESTS_ROLLOUTS_ROLLOUT_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "libteaselthread/endpoints/endpoint_selector.h"
#include "libteaselthread/rollouts/rollout_table.h"

namespace teaselthread::test {

// How an endpoint of the target version responds.
struct SimulatedResponse {
  bool fails = false;
  double slowness = 1;  // multiple of the usual time
};

struct RolloutFleetOptions {
  int nodes = 6;
  int zones = 3;
  int endpoints = 12;  // of each version
  double requests_per_second = 200;
  // The n-th node gets this share of the traffic of the one before it.
  double traffic_decay = 1;
  double message_loss = 0;
  double message_repeat = 0;  // also delivered later, out of order
  double old_failures = 0.01;
  double old_slow = 0.02;
  int routes = 3;
  uint64_t seed = 1;
  // `load`: requests in progress at the endpoint.
  std::function<SimulatedResponse(int route, Duration time, uint32_t load)>
      target = [](int, Duration, uint32_t) { return SimulatedResponse(); };
};

// A store, nodes and the endpoints of the service "desk" under virtual time.
class SimulatedFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);

  explicit SimulatedFleet(RolloutFleetOptions options);

  void RunFor(Duration time);
  Duration now() const { return now_; }

  // The operator's order for the version "v2", which replaces an earlier one.
  void Order(const std::string& target, Duration duration);
  void RemoveOrder();
  // The state in the store; empty without one.
  std::string state() const;
  int writes() const { return writes_; }
  int conflicts() const { return conflicts_; }
  void set_store_down(bool is_down) { store_down_ = is_down; }
  // Writes are applied after this time although their responses are lost.
  void set_late_writes(Duration delay) { late_writes_ = delay; }
  void Kill(int node) { nodes_[static_cast<size_t>(node)].is_alive = false; }
  bool is_alive(int node) const {
    return nodes_[static_cast<size_t>(node)].is_alive;
  }
  // The node's process starts anew.
  void Restart(int node);
  // The node neither sends to the others nor receives from them.
  void Partition(int node) {
    nodes_[static_cast<size_t>(node)].is_partitioned = true;
  }
  void Evacuate(const std::string& zone);
  RolloutTable& table(int node) {
    return *nodes_[static_cast<size_t>(node)].table;
  }
  // Node whose writes are lost: the process ends between read and write.
  void KillAtNextWrite(int node) { dies_at_write_ = node; }

  struct Counts {
    int sends = 0;         // to any version
    int target_sends = 0;  // of those
    int bad = 0;           // bad responses of the target
    int last_target_send_ms = 0;
    int bad_50_at_ms = 0;                // when the 50th bad response ended
    int old_sends_after_completion = 0;  // a margin after it was stored
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Node {
    std::string name;
    std::string zone;
    double share = 0;  // of the traffic
    std::unique_ptr<EndpointTable> endpoints;
    std::unique_ptr<RolloutTable> table;
    bool is_alive = true;
    bool is_partitioned = false;
    Duration next_write{};
  };

  Timestamp Time() const;
  void At(Duration at, std::function<void()> run);
  void Start(Node* node, uint32_t start);
  EndpointRecord MakeRecord(int index) const;
  void StartTarget();
  void Step();
  void SendRequest(Node* node);
  void Exchange();
  void Advance(Node* node);
  void TryWrite(Node* node);
  bool Apply(const RolloutWrite& write);
  void Publish();
  void Deliver(Node* from, Node* to, const RolloutReport& report);
  void SendVerdicts(Node* from);
  std::vector<Node*> FirstOfZone(const std::string& zone);
  RolloutFleet FleetOf(const Node& node) const;
  bool Chance(double probability);

  RolloutFleetOptions options_;
  std::mt19937_64 random_;
  Duration now_{};
  std::multimap<Duration, std::function<void()>> events_;
  std::vector<Node> nodes_;
  std::optional<RolloutOrder> order_;
  uint64_t revision_ = 1;
  bool has_target_ = false;  // the endpoints of "v2" are registered
  bool store_down_ = false;
  Duration late_writes_{};
  int dies_at_write_ = -1;
  int writes_ = 0;
  int conflicts_ = 0;
  Duration completed_at_{};
  Counts counts_;
};

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_ROLLOUTS_ROLLOUT_FLEET_H_
