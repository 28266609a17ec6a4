#include "standin_server.h"

#include <csignal>
#include <iostream>

namespace teaselthread::standins {
namespace {

constexpr int kHttp11 = 11;
constexpr uint64_t kMaxBodyBytes = 16 << 20;

asio::awaitable<void> ServeConnection(tcp::socket socket, Handler handler) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  beast::flat_buffer buffer;
  while (socket.is_open()) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    auto [failure, count] =
        co_await http::async_read(socket, buffer, parser, kAsTuple);
    if (failure)
      co_return;
    const Exchange exchange{socket, parser.get()};
    co_await handler(exchange);
    if (!parser.get().keep_alive())
      co_return;
  }
}

asio::awaitable<void> AcceptLoop(tcp::acceptor& acceptor, Handler handler) {
  for (;;) {
    auto [failure, socket] = co_await acceptor.async_accept(kAsTuple);
    if (failure)
      co_return;
    const auto executor = socket.get_executor();
    asio::co_spawn(executor, ServeConnection(std::move(socket), handler),
                   asio::detached);
  }
}

}  // namespace

std::string Exchange::Path() const {
  const std::string target(request.target());
  return target.substr(0, target.find('?'));
}

std::string Exchange::Query(std::string_view name,
                            std::string_view fallback) const {
  const std::string target(request.target());
  const std::string wanted = std::string(name) + "=";
  for (const char* separator : {"?", "&"}) {
    const size_t at = target.find(separator + wanted);
    if (at == std::string::npos)
      continue;
    const size_t start = at + 1 + wanted.size();
    return target.substr(start, target.find('&', start) - start);
  }
  return std::string(fallback);
}

uint64_t Exchange::Number(std::string_view name, uint64_t fallback) const {
  return std::strtoull(Query(name, std::to_string(fallback)).c_str(), nullptr,
                       10);
}

std::string Exchange::Header(std::string_view name) const {
  return std::string(request[{name.data(), name.size()}]);
}

asio::awaitable<void> Exchange::Respond(int status, std::string body) const {
  Response response(static_cast<http::status>(status), kHttp11);
  response.set(http::field::content_type, "application/json");
  response.set("X-Request-Id", Header("X-Request-Id"));
  response.keep_alive(request.keep_alive());
  response.body() = std::move(body);
  response.prepare_payload();
  co_await http::async_write(socket, response, kAsTuple);
}

void Exchange::Reset() const {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

int Serve(asio::io_context& io, uint16_t port, Handler handler) {
  const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
  tcp::acceptor acceptor(io);
  boost::system::error_code failure;
  acceptor.open(endpoint.protocol(), failure);
  acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  acceptor.bind(endpoint, failure);
  if (!failure)
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  if (failure) {
    std::cerr << "cannot listen on loopback port " << port << ": "
              << failure.message() << "\n";
    return 1;
  }
  asio::co_spawn(io, AcceptLoop(acceptor, std::move(handler)), asio::detached);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { io.stop(); });
  io.run();
  return 0;
}

asio::awaitable<void> Sleep(std::chrono::milliseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(duration);
  co_await timer.async_wait(kAsTuple);
}

}  // namespace teaselthread::standins
