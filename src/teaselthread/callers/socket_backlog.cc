#include "teaselthread/callers/socket_backlog.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace teaselthread {
namespace {

size_t QueryBytes(tcp::socket& socket, unsigned long request) {
  int bytes = 0;
  const bool is_known = ::ioctl(socket.native_handle(), request, &bytes) == 0;
  return is_known && bytes > 0 ? static_cast<size_t>(bytes) : 0;
}

}  // namespace

SocketBacklog BacklogOf(tcp::socket& socket) {
  return {QueryBytes(socket, SIOCOUTQ), QueryBytes(socket, SIOCINQ)};
}

ConnectionEnd EndOf(const SocketBacklog& backlog) {
  if (backlog.unread > 0)
    return ConnectionEnd::kUnreadInput;
  return backlog.unacknowledged > 0 ? ConnectionEnd::kUnacknowledged
                                    : ConnectionEnd::kAcknowledged;
}

}  // namespace teaselthread
