#ifndef TEASELTHREAD_CALLERS_RESPONSE_SINK_H_
#define TEASELTHREAD_CALLERS_RESPONSE_SINK_H_

#include <string>

#include "libteaselthread/requests/outcome.h"
#include "libteaselthread/requests/routed_request.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Receives the response to one request: OnHead, any number of OnData, then
// OnFinish; or OnFinish alone. OnHead and OnData return false once the receiver
// has disconnected. `next_address` is the node that serves the caller's next
// turn without forwarding it, or empty.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual asio::awaitable<bool> OnHead(const RelayHead& head,
                                       const std::string& next_address) = 0;
  virtual asio::awaitable<bool> OnData(std::string bytes) = 0;
  virtual asio::awaitable<void> OnFinish(const Outcome& outcome) = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_RESPONSE_SINK_H_
