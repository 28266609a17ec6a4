#include "teaselthread/http_connection.h"

namespace teaselthread {

asio::awaitable<Result<HttpReply>> HttpConnection::Get(std::string target,
                                                       Duration timeout) {
  busy_ = true;
  Result<HttpReply> reply = co_await TryGet(std::move(target), timeout);
  busy_ = false;
  co_return reply;
}

asio::awaitable<Result<HttpReply>> HttpConnection::TryGet(std::string target,
                                                          Duration timeout) {
  const bool is_reused = socket_.has_value();
  if (!socket_) {
    Result<tcp::socket> connected = co_await Connect(address_, timeout);
    if (!connected)
      co_return connected.last_reason();
    socket_ = connected.TakeValue();
  }
  Result<HttpExchange> exchange = co_await ExchangeOn(
      *socket_, address_, http::verb::get, target, "", timeout);
  if (exchange) {
    if (!exchange->keep_alive)
      socket_.reset();
    co_return exchange->reply;
  }
  socket_.reset();
  // The other side may have closed a connection that was idle.
  const bool may_have_idled_out =
      is_reused && exchange.last_reason().code == ErrorCode::kConnectionLost;
  if (may_have_idled_out)
    co_return co_await TryGet(std::move(target), timeout);
  co_return exchange.last_reason();
}

}  // namespace teaselthread
