#ifndef TEASELTHREAD_STANDINS_STANDIN_SERVER_H_
#define TEASELTHREAD_STANDINS_STANDIN_SERVER_H_

#include <functional>
#include <string>

#include "teaselthread/asio.h"

namespace teaselthread::standins {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// A request and the connection to respond on.
struct Exchange {
  tcp::socket& socket;
  const Request& request;

  std::string Path() const;
  // The value of a query parameter, or `fallback` if it is absent.
  std::string Query(std::string_view name, std::string_view fallback) const;
  uint64_t Number(std::string_view name, uint64_t fallback) const;
  std::string Header(std::string_view name) const;
  asio::awaitable<void> Respond(int status, std::string body) const;
  // Resets the connection without a response.
  void Reset() const;
};

// Serves HTTP on a loopback port until SIGTERM or SIGINT.
using Handler = std::function<asio::awaitable<void>(Exchange)>;
int Serve(asio::io_context& io, uint16_t port, Handler handler);

asio::awaitable<void> Sleep(std::chrono::milliseconds duration);

}  // namespace teaselthread::standins

#endif  // TEASELTHREAD_STANDINS_STANDIN_SERVER_H_
