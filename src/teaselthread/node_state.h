#ifndef TEASELTHREAD_NODE_STATE_H_
#define TEASELTHREAD_NODE_STATE_H_

#include <random>

#include "libteaselthread/admission_controller.h"
#include "libteaselthread/metrics.h"
#include "libteaselthread/requests/filter_chain.h"
#include "libteaselthread/requests/idempotency_table.h"
#include "libteaselthread/requests/retry_budget.h"
#include "libteaselthread/router.h"
#include "libteaselthread/settings.h"
#include "libteaselthread/timer_service.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// All state of one node: the objects that make its decisions, and the clocks
// that drive them. Must be used from the node's single thread only.
class NodeState {
 public:
  NodeState(asio::io_context* io, Settings settings);
  NodeState(const NodeState&) = delete;
  NodeState& operator=(const NodeState&) = delete;

  asio::io_context& io() { return *io_; }
  const Settings& settings() const { return settings_; }
  const Incarnation& incarnation() const {
    return membership_.self().incarnation;
  }

  Timestamp Now() const;
  WallSeconds Wall() const;
  // Converts `time` to the clock that timers use.
  static std::chrono::steady_clock::time_point ToSteady(Timestamp time);

  Membership& membership() { return membership_; }
  ConfigurationHolder& configuration() { return configuration_; }
  EndpointDirectory& directory() { return directory_; }
  LoadTable& loads() { return loads_; }
  AdmissionController& admission() { return admission_; }
  IdempotencyTable& idempotency() { return idempotency_; }
  FilterChain& filters() { return filters_; }
  const Router& router() const { return router_; }
  RetryBudget& retry_budget() { return retry_budget_; }
  Metrics& metrics() { return metrics_; }
  const Metrics& metrics() const { return metrics_; }
  TimerService& timers() { return timers_; }
  std::mt19937_64& random() { return random_; }
  FleetView fleet() const {
    return {&membership_, &configuration_, &directory_, &loads_};
  }

  bool leaving() const {
    return membership_.self().status == MemberStatus::kLeaving;
  }
  // Returns an empty string if the node is ready to serve.
  std::string NotReadyReason() const;
  Gauges CurrentGauges() const;

  // Callers' requests and peers' forwarded calls in progress.
  uint32_t requests_in_progress = 0;

 private:
  Member MakeSelf();

  asio::io_context* io_;
  Settings settings_;
  std::mt19937_64 random_;
  Membership membership_;
  ConfigurationHolder configuration_;
  EndpointDirectory directory_;
  LoadTable loads_;
  AdmissionController admission_;
  IdempotencyTable idempotency_;
  FilterChain filters_;
  Router router_;
  RetryBudget retry_budget_;
  Metrics metrics_;
  TimerService timers_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_NODE_STATE_H_
