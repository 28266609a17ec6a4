#ifndef TEASELTHREAD_REQUESTS_ROLLOUT_GUARD_H_
#define TEASELTHREAD_REQUESTS_ROLLOUT_GUARD_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "teaselthread/requests/endpoint_attempt.h"
#include "teaselthread/requests/request_checks.h"

namespace teaselthread {

// Keeps requests to the versions that a rollout allows, and counts how they
// end. Does nothing while rollouts are off.
class RolloutGuard {
 public:
  explicit RolloutGuard(GatewayState* state) : state_(state) {}

  // Selects an endpoint among the versions that may get the request.
  SelectionResult Select(const ClassifiedRequest& request,
                         const SelectionQuery& query) const;
  // The request is about to be sent.
  void OnSend(const ClassifiedRequest& request, const Selection& selection);
  // The attempt that was sent at `sent_at` has ended. `first_event_at`: of the
  // stream, if this attempt has begun it.
  void OnEnd(const ClassifiedRequest& request,
             const Selection& selection,
             const AttemptResult& result,
             Timestamp sent_at,
             const std::optional<Timestamp>& first_event_at);

 private:
  using PartAtEndpoint = std::pair<std::string, uint32_t>;

  // Whether several responses of the endpoint are lost at this moment, as in a
  // crash, and one of them has been counted.
  bool IsRepeatedLoss(const EndpointRecord& endpoint, Timestamp now);

  GatewayState* state_;
  // Prompt parts that an engine has read by requests of this gateway, by id and
  // hash of the part. An engine is slow for those that it reads first.
  std::set<PartAtEndpoint> parts_read_;
  std::map<std::string, Timestamp> last_loss_at_;  // by endpoint
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_ROLLOUT_GUARD_H_
