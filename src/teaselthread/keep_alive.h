#ifndef TEASELTHREAD_KEEP_ALIVE_H_
#define TEASELTHREAD_KEEP_ALIVE_H_

#include "teaselthread/asio.h"

namespace teaselthread {

// Has the kernel notice within kSilenceBound that the other side of an idle
// connection does not answer any more, so that a call that waits long on it
// ends with an error.
void EnableKeepAlive(tcp::socket& socket);

inline constexpr std::chrono::milliseconds kSilenceBound(2'000);

}  // namespace teaselthread

#endif  // TEASELTHREAD_KEEP_ALIVE_H_
