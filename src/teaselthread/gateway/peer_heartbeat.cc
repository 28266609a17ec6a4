#include "teaselthread/gateway/peer_heartbeat.h"

#include <set>

#include "heartbeat.pb.h"

namespace teaselthread {
namespace {

asio::ip::udp::endpoint ToEndpoint(const SocketAddress& address) {
  return {asio::ip::make_address(address.host), address.port};
}

}  // namespace

Result<std::unique_ptr<PeerHeartbeat>> PeerHeartbeat::Start(
    GatewayState* state) {
  asio::ip::udp::socket socket(state->io());
  const SocketAddress& address = state->settings().peer_listen();
  const asio::ip::udp::endpoint endpoint = ToEndpoint(address);
  boost::system::error_code failure;
  socket.open(endpoint.protocol(), failure);
  if (!failure)
    socket.bind(endpoint, failure);
  if (!failure)
    socket.non_blocking(true, failure);
  if (failure) {
    return Error{ErrorCode::kUnavailable, "cannot bind peer address " +
                                              address.ToString() + ": " +
                                              failure.message()};
  }
  std::unique_ptr<PeerHeartbeat> heartbeat(
      new PeerHeartbeat(state, std::move(socket)));
  asio::co_spawn(state->io(), heartbeat->ReceiveLoop(), asio::detached);
  state->timers().Subscribe(state->settings().heartbeat_interval(),
                            state->Now(),
                            [heartbeat = heartbeat.get()](Timestamp) {
                              heartbeat->SendNow();
                            });
  heartbeat->SendNow();
  return heartbeat;
}

PeerHeartbeat::PeerHeartbeat(GatewayState* state, asio::ip::udp::socket socket)
    : state_(state), socket_(std::move(socket)) {}

void PeerHeartbeat::SendNow() {
  state_->peers().SetServing(state_->IsReady());
  const Peer& self = state_->peers().self();
  wire::GatewayHeartbeat message;
  message.set_name(self.name);
  message.set_zone(self.zone);
  message.set_peer_address(self.peer_address.ToString());
  message.set_front_address(self.front_address.ToString());
  message.set_serving(self.serving);
  if (state_->routes())
    message.set_configuration_version(state_->routes()->version());
  const std::string bytes = message.SerializeAsString();
  const std::vector<SocketAddress> known =
      state_->peers().HeartbeatTargets(state_->Now());
  std::set<SocketAddress> targets(known.begin(), known.end());
  targets.insert(state_->settings().seeds().begin(),
                 state_->settings().seeds().end());
  targets.erase(self.peer_address);
  for (const SocketAddress& target : targets) {
    // A datagram that cannot be sent counts as lost.
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(bytes), ToEndpoint(target), 0, ignored);
  }
}

asio::awaitable<void> PeerHeartbeat::ReceiveLoop() {
  for (;;) {
    asio::ip::udp::endpoint sender;
    auto [failure, count] = co_await socket_.async_receive_from(
        asio::buffer(received_), sender, kAsTuple);
    if (failure == asio::error::operation_aborted)
      co_return;
    if (!failure)
      OnDatagram({received_.data(), count});
  }
}

void PeerHeartbeat::OnDatagram(std::string_view bytes) {
  wire::GatewayHeartbeat message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    state_->metrics().OnUnreadableEntry();
    return;
  }
  const auto peer_address = SocketAddress::Parse(message.peer_address());
  const auto front_address = SocketAddress::Parse(message.front_address());
  if (!peer_address || !front_address || message.name().empty()) {
    state_->metrics().OnUnreadableEntry();
    return;
  }
  state_->peers().OnHeartbeat({message.name(), message.zone(), *peer_address,
                               *front_address, message.serving()},
                              state_->Now());
}

}  // namespace teaselthread
