#ifndef TEASELTHREAD_HTTP_IDLE_CONNECTION_H_
#define TEASELTHREAD_HTTP_IDLE_CONNECTION_H_

#include "teaselthread/asio.h"

namespace teaselthread {

// Whether an idle connection can take another call. Input on it means that the
// server has closed it or sent a response that no call waits for.
bool HasNoPendingInput(tcp::socket& socket);

}  // namespace teaselthread

#endif  // TEASELTHREAD_HTTP_IDLE_CONNECTION_H_
