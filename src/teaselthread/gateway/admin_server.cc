#include "teaselthread/gateway/admin_server.h"

#include <algorithm>
#include <set>
#include <utility>

#include "teaselthread/callers/finish_output.h"
#include "teaselthread/io_timeout.h"

namespace teaselthread {
namespace {

constexpr int kHttp11 = 11;
constexpr Duration kIdleTimeout = std::chrono::seconds(20);
constexpr std::string_view kMetricsPath = "/metrics";

http::response<http::string_body> MakeResponse(http::status status,
                                               std::string body,
                                               std::string_view type) {
  http::response<http::string_body> response(status, kHttp11);
  response.set(http::field::content_type, {type.data(), type.size()});
  response.body() = std::move(body);
  return response;
}

}  // namespace

Result<bool> AdminServer::Start() {
  const GatewaySettings& settings = state_->settings();
  const std::set<SocketAddress> addresses = {settings.readiness_listen(),
                                             settings.directory_listen(),
                                             settings.metrics_listen()};
  for (const SocketAddress& address : addresses) {
    auto listener = Listener::Start(
        &state_->io(), address,
        [this](tcp::socket socket) { OnConnection(std::move(socket)); });
    if (!listener)
      return listener.last_reason();
    listeners_.push_back(listener.TakeValue());
  }
  return true;
}

void AdminServer::OnConnection(tcp::socket socket) {
  CallerConnections& bound = state_->admin_connections();
  // Always admitted: no connection here is ever busy.
  const CallerConnections::Admission admission = bound.Admit(state_->Now());
  if (admission.close) {
    state_->OnClosedForRoom(admission.closed_state, bound);
    boost::system::error_code ignored;
    const auto found = connections_.find(*admission.close);
    if (found != connections_.end())
      found->second->close(ignored);
  }
  const auto connection = std::make_shared<tcp::socket>(std::move(socket));
  connections_.emplace(admission.id, connection);
  asio::co_spawn(state_->io(), Serve(connection, admission.id), asio::detached);
}

asio::awaitable<void> AdminServer::Serve(
    std::shared_ptr<tcp::socket> connection,
    CallerConnections::Id id) {
  co_await ServeRequests(*connection, id);
  state_->admin_connections().SetState(id, CallerConnections::State::kEnding,
                                       state_->Now());
  co_await FinishOutput(*connection);
  state_->admin_connections().Remove(id);
  connections_.erase(id);
}

asio::awaitable<void> AdminServer::ServeRequests(tcp::socket& socket,
                                                 CallerConnections::Id id) {
  beast::flat_buffer buffer;
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  for (bool keep_alive = true; keep_alive;) {
    http::request<http::empty_body> request;
    IoTimeout limit(socket);
    limit.Arm(kIdleTimeout);
    auto [read_failure, read] =
        co_await http::async_read(socket, buffer, request, kAsTuple);
    if (read_failure)
      co_return;
    Response response =
        Respond({request.target().data(), request.target().size()});
    keep_alive = request.keep_alive() && !state_->leaving();
    response.keep_alive(keep_alive);
    response.prepare_payload();
    auto [write_failure, written] =
        co_await http::async_write(socket, response, kAsTuple);
    if (write_failure)
      co_return;
    state_->admin_connections().SetState(id, CallerConnections::State::kIdle,
                                         state_->Now());
  }
}

AdminServer::Response AdminServer::Respond(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  if (state_->codec().IsReadinessCall(path))
    return MakeReadinessResponse();
  if (state_->codec().IsDirectoryCall(path))
    return MakeDirectoryResponse(target);
  if (path == kMetricsPath) {
    return MakeResponse(http::status::ok, state_->RenderMetrics(),
                        "text/plain; version=0.0.4");
  }
  return MakeResponse(http::status::not_found, "no such path\n", "text/plain");
}

AdminServer::Response AdminServer::MakeDirectoryResponse(
    std::string_view target) {
  state_->peers().SetServing(state_->IsReady());
  std::vector<Peer> nodes = state_->peers().ServingFor(
      state_->codec().DirectoryZone(target), state_->Now());
  if (nodes.empty()) {
    state_->metrics().OnRefusal(RefusalReason::kNotReady);
    return MakeResponse(http::status::service_unavailable,
                        "no node takes new callers\n", "text/plain");
  }
  std::shuffle(nodes.begin(), nodes.end(), state_->random());
  return MakeResponse(
      http::status::ok,
      state_->codec().EncodeDirectory(nodes, state_->settings().address_ttl()),
      "application/json");
}

AdminServer::Response AdminServer::MakeReadinessResponse() const {
  return state_->IsReady()
             ? MakeResponse(http::status::ok, "ready\n", "text/plain")
             : MakeResponse(http::status::service_unavailable, "not ready\n",
                            "text/plain");
}

}  // namespace teaselthread
