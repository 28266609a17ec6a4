#ifndef TEASELTHREAD_GATEWAY_ENDPOINT_PLACEMENT_H_
#define TEASELTHREAD_GATEWAY_ENDPOINT_PLACEMENT_H_

#include "libteaselthread/attempts/request_attempts.h"
#include "libteaselthread/attempts/response_timeouts.h"
#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/gateway/request_checks.h"
#include "teaselthread/gateway/request_guard.h"

namespace teaselthread {

// Chooses the endpoint for each attempt of a request, and how long it may send
// nothing, from the state of the gateway.
class EndpointPlacement {
 public:
  explicit EndpointPlacement(GatewayState* state) : state_(state) {}

  // Selects an endpoint. If all are at their load bound, waits until one is not
  // or the request can no longer be served in time.
  asio::awaitable<SelectionResult> SelectOrWait(
      const ClassifiedRequest& request,
      const RequestAttempts& attempts,
      const RequestGuard& guard);
  // The request is sent to the selected endpoint, or has ended there.
  void OnSend(const Selection& selection);
  void OnEnd(const Selection& selection);
  ResponseTimeouts TimeoutsFor(const ClassifiedRequest& request,
                               const EndpointState& endpoint) const;
  // The endpoint has served the request `elapsed` after it was sent.
  void OnServed(const Selection& selection, Duration elapsed);

 private:
  SelectionResult Select(const ClassifiedRequest& request,
                         const RequestAttempts& attempts);

  GatewayState* state_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_ENDPOINT_PLACEMENT_H_
