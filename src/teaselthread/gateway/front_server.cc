#include "teaselthread/gateway/front_server.h"

#include <sstream>

#include "teaselthread/gateway/unread_refusal.h"

namespace teaselthread {

FrontServer::FrontServer(GatewayState* state)
    : state_(state), handler_(state) {}

Result<bool> FrontServer::Start() {
  auto listener = Listener::Start(
      &state_->io(), state_->settings().front_listen(),
      [this](tcp::socket socket) { OnConnection(std::move(socket)); });
  if (!listener)
    return listener.last_reason();
  listener_ = listener.TakeValue();
  return true;
}

void FrontServer::StopAccepting() {
  listener_->Stop();
  for (const auto& [id, connection] : connections_)
    connection->CloseIfIdle();
}

void FrontServer::CloseForExit() {
  for (const auto& [id, connection] : connections_)
    connection->CloseForExit();
}

void FrontServer::OnConnection(tcp::socket socket) {
  const CallerConnections::Admission admission =
      state_->caller_connections().Admit(state_->Now());
  if (!admission.admitted) {
    Refuse(std::move(socket));
    return;
  }
  CloseForRoom(admission);
  const auto connection = std::make_shared<FrontConnection>(
      state_, &handler_, std::move(socket), admission.id);
  connections_.emplace(admission.id, connection);
  asio::co_spawn(state_->io(), Serve(connection, admission.id), asio::detached);
}

asio::awaitable<void> FrontServer::Serve(
    std::shared_ptr<FrontConnection> connection,
    CallerConnections::Id id) {
  co_await connection->Run();
  connections_.erase(id);
}

void FrontServer::CloseForRoom(const CallerConnections::Admission& admission) {
  if (!admission.close)
    return;
  state_->OnClosedForRoom(admission.closed_state, state_->caller_connections());
  const auto found = connections_.find(*admission.close);
  if (found != connections_.end())
    found->second->Close();
}

void FrontServer::Refuse(tcp::socket socket) {
  auto problem =
      RefuseUnreadRequest(state_, RefusalReason::kTooManyConnections);
  problem.keep_alive(false);
  problem.prepare_payload();
  std::ostringstream text;
  text << problem;
  // The send buffer of a new connection has room for the response.
  boost::system::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.write_some(asio::buffer(text.str()), ignored);
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  socket.close(ignored);
}

}  // namespace teaselthread
