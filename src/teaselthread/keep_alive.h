#ifndef TEASELTHREAD_KEEP_ALIVE_H_
#define TEASELTHREAD_KEEP_ALIVE_H_

#include "teaselthread/asio.h"

namespace teaselthread {

// Enables TCP keep-alive, by which the kernel detects within kKeepAliveTimeout
// that the other side of an idle connection no longer responds. A call that
// waits long on the connection then ends with an error.
void EnableKeepAlive(tcp::socket& socket);

inline constexpr std::chrono::milliseconds kKeepAliveTimeout(2'000);

}  // namespace teaselthread

#endif  // TEASELTHREAD_KEEP_ALIVE_H_
