#ifndef TEASELTHREAD_PEERS_MEMBERSHIP_CONTROLLER_H_
#define TEASELTHREAD_PEERS_MEMBERSHIP_CONTROLLER_H_

#include "teaselthread/node_state.h"
#include "teaselthread/peers/peer_client.h"
#include "teaselthread/peers/peer_server.h"
#include "teaselthread/peers/state_fetcher.h"

namespace teaselthread {

// Maintains the membership list: sends and responds to heartbeats and probes.
class MembershipController {
 public:
  MembershipController(NodeState* state,
                       PeerClient* peers,
                       StateFetcher* fetcher);

  wire::HeartbeatMessage OnHeartbeat(const wire::HeartbeatMessage& message);
  void OnProbe(const wire::ProbeRequest& request,
               PeerHandler::Respond<wire::ProbeReply> respond);

 private:
  void Tick(Timestamp now);
  void Send(const SendHeartbeat& heartbeat);
  void OnFailed(const SendHeartbeat& heartbeat);
  wire::HeartbeatMessage MakeHeartbeat();
  void ApplyHeartbeat(const wire::HeartbeatMessage& message);

  NodeState* state_;
  PeerClient* peers_;
  StateFetcher* fetcher_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_MEMBERSHIP_CONTROLLER_H_
