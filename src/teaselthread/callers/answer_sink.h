#ifndef TEASELTHREAD_CALLERS_ANSWER_SINK_H_
#define TEASELTHREAD_CALLERS_ANSWER_SINK_H_

#include <string>

#include "libteaselthread/requests/outcome.h"
#include "libteaselthread/requests/routed_request.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Receives the answer to one request: OnHead, any number of OnData, OnFinish;
// or OnFinish alone. OnHead and OnData return false once nobody listens.
// `next_address` is where the caller's next turn takes the shortest way, or
// empty.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  virtual asio::awaitable<bool> OnHead(const RelayHead& head,
                                       const std::string& next_address) = 0;
  virtual asio::awaitable<bool> OnData(std::string bytes) = 0;
  virtual asio::awaitable<void> OnFinish(const Outcome& outcome) = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_ANSWER_SINK_H_
