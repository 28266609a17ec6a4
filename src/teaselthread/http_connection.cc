#include "teaselthread/http_connection.h"

#include <algorithm>
#include <utility>

#include "teaselthread/http/idle_connection.h"
#include "teaselthread/keep_alive.h"

namespace teaselthread {
namespace {

// Limits the wait for a connection even if the call may wait long for its
// response, since a round trip takes only milliseconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(800);
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(10);

}  // namespace

asio::awaitable<Result<HttpReply>> HttpConnection::Get(std::string target,
                                                       Duration timeout) {
  std::string no_body;
  co_return co_await Call(http::verb::get, std::move(target),
                          std::move(no_body), timeout);
}

asio::awaitable<Result<HttpReply>> HttpConnection::Call(http::verb method,
                                                        std::string target,
                                                        std::string body,
                                                        Duration timeout) {
  co_await WaitUntilIdle();
  busy_ = true;
  superseded_ = false;
  Result<HttpReply> reply =
      co_await TryCall(method, std::move(target), std::move(body), timeout);
  busy_ = false;
  if (superseded_ && !reply)
    co_return Error{ErrorCode::kSuperseded, reply.last_reason().detail};
  co_return reply;
}

asio::awaitable<void> HttpConnection::WaitUntilIdle() const {
  asio::steady_timer pause(co_await asio::this_coro::executor);
  while (busy_) {
    pause.expires_after(kIdleCheckInterval);
    co_await pause.async_wait(kAsTuple);
  }
}

void HttpConnection::Reconnect() {
  if (!busy_) {
    socket_.reset();
    return;
  }
  superseded_ = true;
  boost::system::error_code ignored;
  if (socket_)
    socket_->cancel(ignored);
}

asio::awaitable<Result<HttpReply>> HttpConnection::TryCall(http::verb method,
                                                           std::string target,
                                                           std::string body,
                                                           Duration timeout) {
  if (socket_ && !HasNoPendingInput(*socket_))
    socket_.reset();
  const bool is_reused = socket_.has_value();
  if (!socket_) {
    const Duration connect_timeout = std::min(timeout, kConnectTimeout);
    Result<tcp::socket> connected = co_await Connect(address_, connect_timeout);
    if (!connected)
      co_return connected.last_reason();
    socket_ = connected.TakeValue();
    EnableKeepAlive(*socket_);
  }
  if (superseded_)
    co_return Error{ErrorCode::kSuperseded, address_.ToString()};
  Result<HttpExchange> exchange =
      co_await ExchangeOn(*socket_, address_, method, target, body, timeout);
  if (exchange) {
    if (!exchange->keep_alive)
      socket_.reset();
    co_return exchange->reply;
  }
  socket_.reset();
  // The server may have closed the connection while it was idle.
  const bool may_have_idled_out =
      is_reused && exchange.last_reason().code == ErrorCode::kConnectionLost;
  if (method == http::verb::get && may_have_idled_out && !superseded_) {
    co_return co_await TryCall(method, std::move(target), std::move(body),
                               timeout);
  }
  co_return exchange.last_reason();
}

}  // namespace teaselthread
