#ifndef TEASELTHREAD_REQUESTS_FINAL_RESPONSES_H_
#define TEASELTHREAD_REQUESTS_FINAL_RESPONSES_H_

#include "libteaselthread/endpoints/endpoint_selector.h"
#include "teaselthread/requests/endpoint_attempt.h"
#include "teaselthread/requests/request_exchange.h"

namespace teaselthread {

RefusalReason ToRefusal(NoEndpointReason reason);
RefusalReason ToRefusal(AttemptFailure failure);
UnknownReason ToUnknown(AttemptFailure failure);

// Writes the final response of a caller's request and records its outcome in
// the exchange.
class FinalResponses {
 public:
  explicit FinalResponses(GatewayState* state) : state_(state) {}

  // Passes the endpoint's response to the caller. `result` must have a head.
  asio::awaitable<void> Relay(RequestExchange& exchange, AttemptResult result);
  asio::awaitable<void> Refuse(RequestExchange& exchange, RefusalReason reason);
  // Ends the request when no further attempt can be made. Refuses it only if no
  // earlier attempt may have run it.
  asio::awaitable<void> EndWithoutAttempt(RequestExchange& exchange,
                                          RefusalReason reason);
  asio::awaitable<void> ReportUnknownOutcome(RequestExchange& exchange,
                                             UnknownReason reason);

 private:
  // How long the endpoints want no requests, if that is why the request is
  // refused.
  Duration PauseFor(const RequestExchange& exchange, RefusalReason reason);

  GatewayState* state_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_FINAL_RESPONSES_H_
