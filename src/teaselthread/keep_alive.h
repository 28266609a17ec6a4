#ifndef TEASELTHREAD_KEEP_ALIVE_H_
#define TEASELTHREAD_KEEP_ALIVE_H_

#include "teaselthread/asio.h"

namespace teaselthread {

inline constexpr std::chrono::milliseconds kKeepAliveTimeout(2'000);

// How many keep-alive probes in a row, one a second, may stay unanswered, and
// how long sent data may stay unacknowledged. The kernel applies the latter to
// the probes too, so it is below their total time.
struct KeepAliveProbes {
  int count = 1;
  std::chrono::milliseconds unacknowledged_limit{1'500};
};

// Enables TCP keep-alive, by which the kernel detects that the other side of an
// idle connection no longer responds: within kKeepAliveTimeout with the default
// probes. A call that waits long on the connection then ends with an error.
void EnableKeepAlive(tcp::socket& socket, const KeepAliveProbes& probes = {});

}  // namespace teaselthread

#endif  // TEASELTHREAD_KEEP_ALIVE_H_
