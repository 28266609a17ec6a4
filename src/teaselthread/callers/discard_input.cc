#include "teaselthread/callers/discard_input.h"

#include <array>

#include "teaselthread/io_timeout.h"

namespace teaselthread {
namespace {

constexpr Duration kMaxTime = std::chrono::milliseconds(2'000);
constexpr size_t kMaxBytes = size_t{16} << 20;
constexpr size_t kReadBytes = size_t{8} * 1024;

}  // namespace

asio::awaitable<void> DiscardInput(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  IoTimeout limit(socket);
  limit.Arm(kMaxTime);
  // All connections share the buffer, since nobody reads it. One for each would
  // be memory that refused callers hold.
  static std::array<char, kReadBytes> sink;
  for (size_t total = 0; total < kMaxBytes && !limit.expired();) {
    auto [failure, count] =
        co_await socket.async_read_some(asio::buffer(sink), kAsTuple);
    if (failure)
      co_return;
    total += count;
  }
}

}  // namespace teaselthread
