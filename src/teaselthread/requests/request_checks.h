#ifndef TEASELTHREAD_REQUESTS_REQUEST_CHECKS_H_
#define TEASELTHREAD_REQUESTS_REQUEST_CHECKS_H_

#include <optional>
#include <string>

#include "libteaselthread/requests/reasons.h"
#include "teaselthread/gateway/gateway_state.h"

namespace teaselthread {

// A caller's request and what the configuration determines for it.
struct ClassifiedRequest {
  CallerHead head;
  std::string host;
  std::string path;  // without the query
  Timestamp received_at{};

  // Set by the checks. `routes` owns the route, the customer and the service.
  RouteTablePtr routes;
  const Route* route = nullptr;
  const Customer* customer = nullptr;
  const ServiceSpec* service = nullptr;
  Timestamp deadline{};
  // Version of the endpoints that may get the request: the one that began its
  // stream. Any if empty.
  std::optional<std::string> required_version;

  // 0 is the most urgent. Not to be called before the checks have passed.
  int Priority() const;
};

// The checks that a request must pass before it is sent to an endpoint. The
// first failing check gives the reason for the refusal.
class RequestChecks {
 public:
  explicit RequestChecks(GatewayState* state) : state_(state) {}

  std::optional<RefusalReason> Apply(ClassifiedRequest& request) const;
  // Part of Apply; repeated before each attempt.
  std::optional<RefusalReason> CheckConfigurationFreshness(
      ClassifiedRequest& request) const;

 private:
  using Check =
      std::optional<RefusalReason> (RequestChecks::*)(ClassifiedRequest&) const;

  RefusalReason StaleReason() const;
  std::optional<RefusalReason> CheckRoute(ClassifiedRequest& request) const;
  std::optional<RefusalReason> CheckKey(ClassifiedRequest& request) const;
  std::optional<RefusalReason> CheckDeadline(ClassifiedRequest& request) const;
  std::optional<RefusalReason> CheckLeaving(ClassifiedRequest& request) const;

  static const Check kChecks[];

  GatewayState* state_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_REQUEST_CHECKS_H_
