#ifndef TEASELTHREAD_CALLERS_SOCKET_BACKLOG_H_
#define TEASELTHREAD_CALLERS_SOCKET_BACKLOG_H_

#include <compare>
#include <cstddef>

#include "libteaselthread/callers/connection_end.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Bytes that one side of a TCP connection has sent and the other has not taken.
struct SocketBacklog {
  size_t unacknowledged =
      0;              // written here, not acknowledged by the other side
  size_t unread = 0;  // received from the other side, not read here

  friend auto operator<=>(const SocketBacklog&, const SocketBacklog&) = default;
};

// The backlog of an open socket. A number that the system does not tell is 0.
SocketBacklog BacklogOf(tcp::socket& socket);

// How a connection with this backlog ends if it is closed now.
ConnectionEnd EndOf(const SocketBacklog& backlog);

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_SOCKET_BACKLOG_H_
