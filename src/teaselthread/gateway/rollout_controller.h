#ifndef TEASELTHREAD_GATEWAY_ROLLOUT_CONTROLLER_H_
#define TEASELTHREAD_GATEWAY_ROLLOUT_CONTROLLER_H_

#include <vector>

#include "teaselthread/gateway/peer_heartbeat.h"

namespace teaselthread {

// Lets rollouts advance and exchanges evidence on them with the other gateways.
// Each gateway sends its counters to the zone leader and its successors. The
// leader sends the sums of its zone to a few gateways of each other zone, which
// pass them on to their leader. Verdicts go to all gateways of the zone and to
// some of the others at once, and with each heartbeat.
class RolloutController {
 public:
  RolloutController(GatewayState* state, PeerHeartbeat* heartbeat)
      : state_(state), heartbeat_(heartbeat) {}
  RolloutController(const RolloutController&) = delete;
  RolloutController& operator=(const RolloutController&) = delete;

  // Does nothing while rollouts are off.
  void Start();

 private:
  void Advance();
  void SendVerdicts();
  void SendCounters();
  void OnReports(const std::vector<RolloutReport>& reports, bool is_zone_peer);
  void LogStage(const RolloutTable::StageChange& change);

  GatewayState* state_;
  PeerHeartbeat* heartbeat_;
  size_t rounds_ = 0;  // of SendCounters
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_ROLLOUT_CONTROLLER_H_
