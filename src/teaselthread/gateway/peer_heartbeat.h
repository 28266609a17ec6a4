#ifndef TEASELTHREAD_GATEWAY_PEER_HEARTBEAT_H_
#define TEASELTHREAD_GATEWAY_PEER_HEARTBEAT_H_

#include <array>
#include <memory>

#include "teaselthread/gateway/gateway_state.h"

namespace teaselthread {

// Sends this node's state to the others in datagrams, and takes theirs.
class PeerHeartbeat {
 public:
  // Fails with kUnavailable if the peer address cannot be bound.
  static Result<std::unique_ptr<PeerHeartbeat>> Start(GatewayState* state);

  // Tells the others at once.
  void SendNow();

 private:
  PeerHeartbeat(GatewayState* state, asio::ip::udp::socket socket);
  asio::awaitable<void> ReceiveLoop();
  void OnDatagram(std::string_view bytes);

  GatewayState* state_;
  asio::ip::udp::socket socket_;
  std::array<char, 1500> received_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_PEER_HEARTBEAT_H_
