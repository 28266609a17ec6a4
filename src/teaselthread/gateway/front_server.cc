#include "teaselthread/gateway/front_server.h"

namespace teaselthread {

FrontServer::FrontServer(GatewayState* state)
    : state_(state), handler_(state) {}

Result<bool> FrontServer::Start() {
  auto listener = Listener::Start(
      &state_->io(), state_->settings().front_listen(),
      [this](tcp::socket socket) {
        asio::co_spawn(state_->io(),
                       Serve(std::make_shared<FrontConnection>(
                           state_, &handler_, std::move(socket))),
                       asio::detached);
      });
  if (!listener)
    return listener.last_reason();
  listener_ = listener.TakeValue();
  return true;
}

void FrontServer::StopAccepting() {
  listener_->Stop();
  for (const auto& connection : connections_)
    connection->CloseIfIdle();
}

void FrontServer::ResetConnections() {
  for (const auto& connection : connections_)
    connection->Reset();
}

asio::awaitable<void> FrontServer::Serve(
    std::shared_ptr<FrontConnection> connection) {
  connections_.insert(connection);
  co_await connection->Run();
  connections_.erase(connection);
}

}  // namespace teaselthread
