#include "teaselthread/keep_alive.h"

#include <netinet/tcp.h>

namespace teaselthread {
namespace {

// Idle time and one unanswered probe make up kSilenceBound.
constexpr int kIdleSeconds = 1;
constexpr int kIntervalSeconds = 1;
constexpr int kProbes = 1;
// For bytes that are not acknowledged; below kSilenceBound, since it also
// limits the probes.
constexpr int kUserTimeoutMs = 1'500;

template <int kName>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

}  // namespace

void EnableKeepAlive(tcp::socket& socket) {
  // Without the options the timeout of each call remains.
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kIdleSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kIntervalSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kProbes), ignored);
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(kUserTimeoutMs), ignored);
}

}  // namespace teaselthread
