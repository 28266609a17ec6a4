#include "teaselthread/callers/finish_output.h"

#include <array>

#include "teaselthread/callers/socket_backlog.h"
#include "teaselthread/io_timeout.h"

namespace teaselthread {
namespace {

// How long the caller may take to close its side, or to acknowledge some of
// what is on its way.
constexpr Duration kStallTime = std::chrono::milliseconds(2'000);
constexpr int kMaxPeriods = 8;
constexpr size_t kMaxBytes = size_t{16} << 20;
constexpr size_t kReadBytes = size_t{8} * 1024;

// Discards input for kStallTime. Returns false once the connection has ended,
// or after more than kMaxBytes in all.
asio::awaitable<bool> DiscardInput(tcp::socket& socket, size_t* total) {
  // All connections share the buffer, since nobody reads it. One for each would
  // be memory that refused callers hold.
  static std::array<char, kReadBytes> sink;
  IoTimeout limit(socket);
  limit.Arm(kStallTime);
  while (*total < kMaxBytes && !limit.expired()) {
    auto [failure, count] =
        co_await socket.async_read_some(asio::buffer(sink), kAsTuple);
    *total += count;
    if (failure)
      co_return limit.expired();
  }
  co_return limit.expired();
}

}  // namespace

asio::awaitable<ConnectionEnd> FinishOutput(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  size_t unacknowledged = BacklogOf(socket).unacknowledged;
  size_t discarded = 0;
  for (int period = 0; period < kMaxPeriods; ++period) {
    const bool is_open = co_await DiscardInput(socket, &discarded);
    if (!is_open) {
      co_return discarded < kMaxBytes ? ConnectionEnd::kCallerClosed
                                      : EndOf(BacklogOf(socket));
    }
    const size_t left = BacklogOf(socket).unacknowledged;
    if (left == 0 || left >= unacknowledged)
      break;
    unacknowledged = left;
  }
  co_return EndOf(BacklogOf(socket));
}

}  // namespace teaselthread
