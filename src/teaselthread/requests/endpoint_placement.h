#ifndef TEASELTHREAD_REQUESTS_ENDPOINT_PLACEMENT_H_
#define TEASELTHREAD_REQUESTS_ENDPOINT_PLACEMENT_H_

#include <map>
#include <set>
#include <string>

#include "libteaselthread/attempts/request_attempts.h"
#include "libteaselthread/attempts/response_timeouts.h"
#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/requests/request_checks.h"
#include "teaselthread/requests/request_guard.h"
#include "teaselthread/requests/rollout_guard.h"

namespace teaselthread {

// Chooses the endpoint for each attempt of a request, and how long it may send
// nothing, from the state of the gateway.
class EndpointPlacement {
 public:
  explicit EndpointPlacement(GatewayState* state)
      : state_(state), rollout_guard_(state) {}

  RolloutGuard& rollout_guard() { return rollout_guard_; }

  // Selects an endpoint. If all are at their load bounds or rate limits, waits
  // until one is not, or as long as the request can still be served in time.
  asio::awaitable<SelectionResult> SelectOrWait(
      const ClassifiedRequest& request,
      const RequestAttempts& attempts,
      const RequestGuard& guard);
  // Selects none of the endpoints that were tried, and none of `excluded`.
  SelectionResult Select(const ClassifiedRequest& request,
                         const RequestAttempts& attempts,
                         const std::set<std::string>& excluded = {});
  // Whether another endpoint can take the request if the current attempt, which
  // may have run it, ends.
  bool CanContinueElsewhere(const ClassifiedRequest& request,
                            const RequestAttempts& attempts);
  ResponseTimeouts TimeoutsFor(const ClassifiedRequest& request,
                               const EndpointState& endpoint) const;
  // The endpoint has served the request `elapsed` after it was sent.
  void OnServed(const Selection& selection, Duration elapsed);

 private:
  SelectionQuery MakeQuery(const ClassifiedRequest& request,
                           const RequestAttempts& attempts);
  // Whether there is no room now, but may be soon.
  static bool LacksRoom(const SelectionResult& result);
  // Why there was no room the last time that a request for the service was
  // placed.
  NoEndpointReason LastReason(const std::string& service);
  // Whether this node's shares of rate limits leave room before `until` for a
  // request with this place, if they are what the service lacks.
  bool MayGetRoom(const std::string& service,
                  const WaitingRequests::Place& place,
                  const std::set<std::string>& tried,
                  Timestamp until);

  GatewayState* state_;
  RolloutGuard rollout_guard_;
  std::map<std::string, NoEndpointReason> last_reasons_;  // by service
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_ENDPOINT_PLACEMENT_H_
