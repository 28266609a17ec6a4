#ifndef TEASELTHREAD_CALLERS_FINISH_OUTPUT_H_
#define TEASELTHREAD_CALLERS_FINISH_OUTPUT_H_

#include "libteaselthread/callers/connection_end.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Ends the output to a caller and waits until the caller closes its side, after
// which it can send nothing that would reset the connection. What the caller
// still sends is discarded. Closing a connection with unread input, or
// receiving input after that, resets it, and the caller would lose what is on
// its way.
//
// The wait is limited, except that a caller which goes on acknowledging what it
// is sent gets more time. Returns how the connection ends if it is closed now.
asio::awaitable<ConnectionEnd> FinishOutput(tcp::socket& socket);

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_FINISH_OUTPUT_H_
