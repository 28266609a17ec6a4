#ifndef TEASELTHREAD_GATEWAY_RATE_LIMIT_CONTROLLER_H_
#define TEASELTHREAD_GATEWAY_RATE_LIMIT_CONTROLLER_H_

#include <vector>

#include "teaselthread/gateway/peer_heartbeat.h"

namespace teaselthread {

// Exchanges the rate limits that endpoints name with the other gateways, and
// keeps the list of those that share them up to date. A change goes to a few
// gateways of the zone at random, and each that did not know it passes it on in
// the same way; the one that learned it from the endpoint also sends it to the
// other zones. Limits that still hold are repeated from time to time.
class RateLimitController {
 public:
  RateLimitController(GatewayState* state, PeerHeartbeat* heartbeat)
      : state_(state), heartbeat_(heartbeat) {}
  RateLimitController(const RateLimitController&) = delete;
  RateLimitController& operator=(const RateLimitController&) = delete;

  void Start();

 private:
  void SendChanges();
  void Refresh();
  void OnUpdates(const std::vector<RateLimitUpdate>& updates);
  // Tells a gateway that has just started of all limits.
  void OnNewPeer(const SocketAddress& peer);
  // Up to `count` of the other gateways of the zone, at random.
  std::vector<SocketAddress> RandomZonePeers(size_t count) const;

  GatewayState* state_;
  PeerHeartbeat* heartbeat_;
  // On CLOCK_BOOTTIME, which also advances while the machine is suspended.
  Timestamp last_changes_at_{};
  // Messages that have waited while the process stood still seem too young.
  Timestamp ignores_until_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_RATE_LIMIT_CONTROLLER_H_
