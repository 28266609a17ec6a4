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

// Discards input for kStallTime, unless there are more than kMaxBytes in all.
// Returns why it ended sooner; no error if it did not.
asio::awaitable<boost::system::error_code> DiscardInput(tcp::socket& socket,
                                                        size_t* total) {
  // All connections share the buffer, since nobody reads it. One for each would
  // be memory that refused callers hold.
  static std::array<char, kReadBytes> sink;
  IoTimeout limit(socket);
  limit.Arm(kStallTime);
  while (!limit.expired()) {
    auto [failure, count] =
        co_await socket.async_read_some(asio::buffer(sink), kAsTuple);
    *total += count;
    if (failure && !limit.expired())
      co_return failure;
    if (*total > kMaxBytes)
      co_return asio::error::message_size;
  }
  co_return boost::system::error_code();
}

}  // namespace

asio::awaitable<ConnectionEnd> FinishOutput(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  size_t unacknowledged = BacklogOf(socket).unacknowledged;
  size_t discarded = 0;
  for (int period = 0; period < kMaxPeriods; ++period) {
    const boost::system::error_code end =
        co_await DiscardInput(socket, &discarded);
    if (end == asio::error::eof)
      co_return ConnectionEnd::kCallerClosed;
    if (end == asio::error::message_size)
      break;
    if (end)
      co_return ConnectionEnd::kUnacknowledged;
    const size_t left = BacklogOf(socket).unacknowledged;
    if (left == 0 || left >= unacknowledged)
      break;
    unacknowledged = left;
  }
  co_return EndOf(BacklogOf(socket));
}

}  // namespace teaselthread
