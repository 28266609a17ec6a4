#include "teaselthread/node.h"

#include <spdlog/spdlog.h>

#include <csignal>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr Duration kPlatformTimeout = milliseconds(2'000);
constexpr Duration kDrainPollInterval = milliseconds(50);

}  // namespace

Result<int> Node::Run(Settings settings) {
  asio::io_context io(1);
  Node node(&io, std::move(settings));
  Result<std::unique_ptr<PeerServer>> peer_server = PeerServer::Start(
      node.state_.settings().peer_listen().ToString(), &io, &node);
  if (!peer_server)
    return peer_server.last_reason();
  Result<std::unique_ptr<CallerServer>> caller_server =
      CallerServer::Start(&node.state_, &node.entry_);
  if (!caller_server)
    return caller_server.last_reason();
  node.platform_.Start();
  asio::co_spawn(io, node.DriveTimers(), asio::detached);
  asio::co_spawn(io, node.LeaveOnSignal(), asio::detached);
  spdlog::info("node {} of zone {} started, incarnation {}",
               node.state_.settings().name(), node.state_.settings().zone(),
               node.state_.incarnation().ToString());
  io.run();
  spdlog::info("node {} stopped", node.state_.settings().name());
  return 0;
}

Node::Node(asio::io_context* io, Settings settings)
    : io_(io),
      state_(io, std::move(settings)),
      peers_(io),
      owner_(&state_),
      entry_(&state_, &owner_, &peers_),
      fetcher_(&state_, &peers_),
      membership_(&state_, &peers_, &fetcher_),
      endpoints_(&state_, &owner_, &peers_),
      platform_(
          &state_,
          PlatformClient(state_.settings().platform(), kPlatformTimeout)) {}

wire::HeartbeatMessage Node::OnHeartbeat(
    const wire::HeartbeatMessage& message) {
  return membership_.OnHeartbeat(message);
}

void Node::OnProbe(const wire::ProbeRequest& request,
                   Respond<wire::ProbeReply> respond) {
  membership_.OnProbe(request, std::move(respond));
}

wire::HandOverReply Node::OnHandOver(const wire::HandOverRequest& request) {
  return endpoints_.OnHandOver(request);
}

wire::ConfigurationDocument Node::OnFetchConfiguration(
    const wire::FetchConfigurationRequest& request) {
  return fetcher_.OnFetchConfiguration(request);
}

wire::OfferReply Node::OnOfferConfiguration(
    const wire::ConfigurationDocument& document) {
  return fetcher_.OnOfferConfiguration(document);
}

wire::EndpointList Node::OnFetchEndpoints(
    const wire::FetchEndpointsRequest& request) {
  return fetcher_.OnFetchEndpoints(request);
}

void Node::OnForward(wire::ForwardRequest request,
                     std::shared_ptr<FrameSink> sink) {
  if (request.stage() == wire::FORWARD_STAGE_HOME) {
    asio::co_spawn(*io_, entry_.ServeForPeer(std::move(request), sink),
                   asio::detached);
    return;
  }
  asio::co_spawn(*io_, owner_.Run(std::move(request), sink), asio::detached);
}

asio::awaitable<void> Node::DriveTimers() {
  asio::steady_timer timer(*io_);
  for (;;) {
    const std::optional<Timestamp> due = state_.timers().next_due();
    timer.expires_at(NodeState::ToSteady(due.value_or(state_.Now())));
    co_await timer.async_wait(kAsTuple);
    state_.timers().Advance(state_.Now());
  }
}

asio::awaitable<void> Node::LeaveOnSignal() {
  asio::signal_set signals(*io_, SIGTERM, SIGINT);
  co_await signals.async_wait(kAsTuple);
  spdlog::info("node {} is leaving", state_.settings().name());
  state_.membership().BeginLeaving();
  // Callers keep an address for its time to live and may connect until then.
  const Timestamp addresses_expired_at =
      state_.Now() + state_.settings().address_ttl();
  asio::steady_timer pause(*io_);
  while (state_.Now() < addresses_expired_at ||
         state_.requests_in_progress > 0) {
    pause.expires_after(kDrainPollInterval);
    co_await pause.async_wait(kAsTuple);
  }
  co_await platform_.ReleaseLease();
  io_->stop();
}

}  // namespace teaselthread
