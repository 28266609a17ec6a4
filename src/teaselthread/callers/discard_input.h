#ifndef TEASELTHREAD_CALLERS_DISCARD_INPUT_H_
#define TEASELTHREAD_CALLERS_DISCARD_INPUT_H_

#include "teaselthread/asio.h"

namespace teaselthread {

// Ends the output to a caller whose request was refused before it was read, and
// discards what the caller still sends, for a limited time. Closing a
// connection with unread input resets it, and the caller would lose the
// response.
asio::awaitable<void> DiscardInput(tcp::socket& socket);

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_DISCARD_INPUT_H_
