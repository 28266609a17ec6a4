#ifndef TEASELTHREAD_GATEWAY_PEER_HEARTBEAT_H_
#define TEASELTHREAD_GATEWAY_PEER_HEARTBEAT_H_

#include <array>
#include <functional>
#include <memory>

#include "teaselthread/gateway/gateway_state.h"

namespace teaselthread {

namespace wire {
class GatewayHeartbeat;
class LoadReport;
}  // namespace wire

// Sends this node's state to the others in datagrams, and takes theirs.
class PeerHeartbeat {
 public:
  // Fails with kUnavailable if the peer address cannot be bound.
  static Result<std::unique_ptr<PeerHeartbeat>> Start(GatewayState* state);

  // Called with each heartbeat that comes in.
  using PeerStatusCallback = std::function<void(const PeerStatus&)>;
  void set_on_peer_status(PeerStatusCallback on_peer_status) {
    on_peer_status_ = std::move(on_peer_status);
  }

  // Tells the others at once.
  void SendNow();

 private:
  PeerHeartbeat(GatewayState* state, asio::ip::udp::socket socket);
  asio::awaitable<void> ReceiveLoop();
  void OnDatagram(const SocketAddress& from, std::string_view bytes);
  void SendIfDue(Timestamp now);
  Duration Interval() const;
  void Send(bool crosses_zones);
  // Adds what only this recipient gets.
  void SendTo(const SocketAddress& target, wire::GatewayHeartbeat message);
  // What all recipients get.
  wire::GatewayHeartbeat MakeMessage() const;
  static void SetRequests(const ServiceRequests& requests,
                          wire::LoadReport* report);
  static void SetNews(const std::vector<LoadUpdate>& updates,
                      wire::LoadReport* report);
  // Takes the news of endpoints; gives the requests by service.
  ServiceRequests OnLoadReport(const wire::LoadReport& report);
  // Of services with engines: this node's own, or all of its zone's.
  ServiceRequests LocalRequests() const;
  ServiceRequests ZoneRequests(const ServiceRequests& own) const;

  GatewayState* state_;
  asio::ip::udp::socket socket_;
  std::array<char, 1500> received_{};
  PeerStatusCallback on_peer_status_;
  uint32_t beats_ = 0;
  Timestamp last_sent_at_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_PEER_HEARTBEAT_H_
