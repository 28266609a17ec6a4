#ifndef REVIEW_HARNESS_3_ASIO_H_
#define REVIEW_HARNESS_3_ASIO_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <string>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

inline tcp::endpoint Loopback(uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

// Closes without the orderly end of the connection.
inline void ResetSocket(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

inline asio::awaitable<void> Sleep(asio::io_context& io, milliseconds time) {
  asio::steady_timer timer(io, time);
  co_await timer.async_wait(kAsTuple);
}

}  // namespace review

#endif  // REVIEW_HARNESS_3_ASIO_H_
