#include "teaselthread/listener.h"

namespace teaselthread {
namespace {

// Delay after a failed accept, for instance with too many open descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

Result<std::unique_ptr<Listener>> Listener::Start(asio::io_context* io,
                                                  const SocketAddress& address,
                                                  OnConnection on_connection) {
  tcp::acceptor acceptor(*io);
  const tcp::endpoint endpoint(asio::ip::make_address(address.host),
                               address.port);
  boost::system::error_code failure;
  acceptor.open(endpoint.protocol(), failure);
  if (!failure)
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  if (!failure)
    acceptor.bind(endpoint, failure);
  if (!failure)
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  if (failure) {
    return Error{
        ErrorCode::kUnavailable,
        "cannot listen on " + address.ToString() + ": " + failure.message()};
  }
  std::unique_ptr<Listener> listener(
      new Listener(std::move(acceptor), std::move(on_connection)));
  asio::co_spawn(*io, listener->AcceptLoop(), asio::detached);
  return listener;
}

Listener::Listener(tcp::acceptor acceptor, OnConnection on_connection)
    : acceptor_(std::move(acceptor)),
      on_connection_(std::move(on_connection)) {}

void Listener::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

asio::awaitable<void> Listener::AcceptLoop() {
  asio::steady_timer pause(acceptor_.get_executor());
  for (;;) {
    auto [failure, socket] = co_await acceptor_.async_accept(kAsTuple);
    if (!acceptor_.is_open())
      co_return;
    if (!failure) {
      on_connection_(std::move(socket));
      continue;
    }
    pause.expires_after(kAcceptRetryDelay);
    co_await pause.async_wait(kAsTuple);
  }
}

}  // namespace teaselthread
