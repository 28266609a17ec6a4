#ifndef TEASELTHREAD_REQUESTS_REQUEST_LOG_H_
#define TEASELTHREAD_REQUESTS_REQUEST_LOG_H_

#include "libteaselthread/endpoints/endpoint_selector.h"
#include "teaselthread/requests/endpoint_attempt.h"
#include "teaselthread/requests/request_exchange.h"
#include "teaselthread/requests/rollout_guard.h"

namespace teaselthread {

// Writes the log lines on the attempts and the end of callers' requests.
class RequestLog {
 public:
  explicit RequestLog(GatewayState* state) : state_(state) {}

  void OnSend(const RequestExchange& exchange,
              const Selection& selection,
              AttemptRole role,
              RolloutGuard* rollout_guard);
  // `retried`: another attempt follows.
  void OnAttemptFailed(const RequestExchange& exchange,
                       const Selection& selection,
                       const AttemptResult& result,
                       bool retried);
  // Also records the time until the first event of a stream in the metrics.
  void OnEnd(const RequestExchange& exchange);

 private:
  GatewayState* state_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_REQUEST_LOG_H_
