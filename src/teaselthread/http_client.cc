#include "teaselthread/http_client.h"

#include "teaselthread/http/response_head.h"
#include "teaselthread/io_timeout.h"

namespace teaselthread {
namespace {

constexpr int kHttp11 = 11;
constexpr uint64_t kMaxReplyBytes = 64ull << 20;

}  // namespace

asio::awaitable<Result<tcp::socket>> Connect(SocketAddress address,
                                             Duration timeout) {
  tcp::socket socket(co_await asio::this_coro::executor);
  const tcp::endpoint endpoint(asio::ip::make_address(address.host),
                               address.port);
  IoTimeout limit(socket);
  limit.Arm(timeout);
  auto [failure] = co_await socket.async_connect(endpoint, kAsTuple);
  limit.Disarm();
  if (failure) {
    co_return Error{ErrorCode::kUnavailable,
                    address.ToString() + ": " + failure.message()};
  }
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  co_return Result<tcp::socket>(std::move(socket));
}

asio::awaitable<Result<HttpExchange>> ExchangeOn(tcp::socket& socket,
                                                 SocketAddress address,
                                                 http::verb method,
                                                 std::string target,
                                                 std::string body,
                                                 Duration timeout) {
  http::request<http::string_body> request(method, target, kHttp11);
  request.set(http::field::host, address.ToString());
  if (!body.empty())
    request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();
  IoTimeout limit(socket);
  limit.Arm(timeout);
  const auto fail = [&](const boost::system::error_code& failure) {
    return Error{
        limit.expired() ? ErrorCode::kTimeout : ErrorCode::kConnectionLost,
        address.ToString() + target + ": " + failure.message()};
  };
  auto [write_failure, written] =
      co_await http::async_write(socket, request, kAsTuple);
  if (write_failure)
    co_return fail(write_failure);
  beast::flat_buffer buffer(kMaxFramingBytes);
  std::optional<http::response_parser<http::string_body>> parser;
  const boost::system::error_code head_failure =
      co_await ReadFinalResponseHead(socket, buffer, kMaxReplyBytes, parser);
  if (head_failure)
    co_return fail(head_failure);
  auto [body_failure, read] =
      co_await http::async_read(socket, buffer, *parser, kAsTuple);
  if (body_failure)
    co_return fail(body_failure);
  HttpExchange exchange;
  exchange.reply.status = static_cast<int>(parser->get().result_int());
  // What is left belongs to no call.
  exchange.keep_alive = parser->get().keep_alive() && buffer.size() == 0;
  exchange.reply.body = std::move(parser->get().body());
  exchange.reply.fields =
      std::make_shared<const http::fields>(std::move(parser->get().base()));
  co_return exchange;
}

asio::awaitable<Result<HttpReply>> HttpCall(SocketAddress address,
                                            http::verb method,
                                            std::string target,
                                            std::string body,
                                            Duration timeout) {
  Result<tcp::socket> connected = co_await Connect(address, timeout);
  if (!connected)
    co_return connected.last_reason();
  tcp::socket socket = connected.TakeValue();
  Result<HttpExchange> exchange = co_await ExchangeOn(
      socket, address, method, std::move(target), std::move(body), timeout);
  if (!exchange)
    co_return exchange.last_reason();
  co_return exchange->reply;
}

}  // namespace teaselthread
