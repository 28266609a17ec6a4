#ifndef TEASELTHREAD_ENDPOINT_CONTROLLER_H_
#define TEASELTHREAD_ENDPOINT_CONTROLLER_H_

#include <map>
#include <memory>
#include <string>

#include "teaselthread/http_connection.h"
#include "teaselthread/node_state.h"
#include "teaselthread/owner_service.h"
#include "teaselthread/peers/peer_client.h"

namespace teaselthread {

// Manages the endpoints that this node owns: polls their load, requests
// hand-overs from their previous owners, and drives the admission controller.
class EndpointController {
 public:
  EndpointController(NodeState* state, OwnerService* owner, PeerClient* peers);

  wire::HandOverReply OnHandOver(const wire::HandOverRequest& request);

 private:
  struct PollState {
    Timestamp due;
    std::shared_ptr<HttpConnection> connection;
  };

  void Tick(Timestamp now);
  void PollDue(Timestamp now);
  asio::awaitable<void> Poll(std::string name,
                             std::shared_ptr<HttpConnection> connection);
  void SendHandOverRequests();

  NodeState* state_;
  OwnerService* owner_;
  PeerClient* peers_;
  std::map<std::string, PollState> polls_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_CONTROLLER_H_
