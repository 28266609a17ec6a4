#include "teaselthread/keep_alive.h"

#include <netinet/tcp.h>

namespace teaselthread {
namespace {

// The idle time and one unanswered probe add up to kKeepAliveTimeout.
constexpr int kIdleSeconds = 1;
constexpr int kIntervalSeconds = 1;

template <int kName>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

}  // namespace

void EnableKeepAlive(tcp::socket& socket, const KeepAliveProbes& probes) {
  // Failures are ignored: the timeout of each call applies in any case.
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kIdleSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kIntervalSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(probes.count), ignored);
  const auto limit = static_cast<int>(probes.unacknowledged_limit.count());
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(limit), ignored);
}

}  // namespace teaselthread
