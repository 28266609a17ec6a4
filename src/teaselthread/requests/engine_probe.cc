#include "teaselthread/requests/engine_probe.h"

#include "teaselthread/io_timeout.h"

namespace teaselthread {
namespace {

// Shorter than the keep-alive times of engines, of which none is known before
// the first response.
constexpr std::chrono::seconds kIdleTime(3);

}  // namespace

EngineProbe::EngineProbe(GatewayState* state,
                         EndpointConnections* connections,
                         CrashEvidenceQueue* queue,
                         std::function<void()> on_checked)
    : state_(state),
      connections_(connections),
      queue_(queue),
      on_checked_(std::move(on_checked)) {}

void EngineProbe::Start(const EndpointPtr& engine) {
  if (watched_.insert(engine).second)
    asio::co_spawn(state_->io(), Watch(engine), asio::detached);
}

asio::awaitable<void> EngineProbe::Watch(EndpointPtr engine) {
  asio::steady_timer timer(state_->io());
  while (queue_->HasPending(*engine)) {
    timer.expires_after(CrashEvidenceQueue::kSettleTime);
    co_await timer.async_wait(kAsTuple);
    if (queue_->TakeProbe(*engine, state_->Now()))
      co_await Connect(engine);
    on_checked_();
  }
  watched_.erase(engine);
}

asio::awaitable<void> EngineProbe::Connect(EndpointPtr engine) {
  auto connection = std::make_shared<EndpointConnection>(state_->io());
  const SocketAddress& address = engine->record().address;
  const tcp::endpoint target(asio::ip::make_address(address.host),
                             address.port);
  const Timestamp started_at = state_->Now();
  IoTimeout timeout(connection->socket);
  timeout.Arm(EndpointConnection::kConnectTimeout);
  auto [failure] = co_await connection->socket.async_connect(target, kAsTuple);
  timeout.Disarm();
  engine->contact().OnConnectEnded(
      !failure, failure == asio::error::connection_refused, started_at);
  if (failure)
    co_return;
  boost::system::error_code ignored;
  connection->socket.set_option(tcp::no_delay(true), ignored);
  connection->is_unused = true;
  connection->usable_until = std::chrono::steady_clock::now() + kIdleTime;
  connections_->Return(engine->record().id, std::move(connection));
}

}  // namespace teaselthread
