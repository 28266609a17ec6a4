#ifndef TEASELTHREAD_DAEMON_MEMBERSHIP_CONTROLLER_H_
#define TEASELTHREAD_DAEMON_MEMBERSHIP_CONTROLLER_H_

#include "teaselthread/node_state.h"
#include "teaselthread/peer_client.h"
#include "teaselthread/peer_server.h"

namespace teaselthread {

// Keeps the view of the peers: sends and answers heartbeats and probes, and
// fetches a newer configuration from a peer that has one.
class MembershipController {
 public:
  MembershipController(NodeState* state, PeerClient* peers);

  wire::HeartbeatMessage OnHeartbeat(const wire::HeartbeatMessage& message);
  void OnProbe(const wire::ProbeRequest& request,
               PeerHandler::Respond<wire::ProbeReply> respond);

 private:
  void Tick(Timestamp now);
  void Send(const SendHeartbeat& heartbeat);
  void OnFailed(const SendHeartbeat& heartbeat);
  wire::HeartbeatMessage MakeMessage();
  void Take(const wire::HeartbeatMessage& message);
  void FetchConfiguration(const std::string& address);

  NodeState* state_;
  PeerClient* peers_;
  bool fetching_configuration_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_DAEMON_MEMBERSHIP_CONTROLLER_H_
