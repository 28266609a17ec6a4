#include "teaselthread/http/idle_connection.h"

#include <sys/socket.h>

#include <cerrno>

namespace teaselthread {

bool HasNoPendingInput(tcp::socket& socket) {
  char byte = 0;
  const ssize_t count =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace teaselthread
