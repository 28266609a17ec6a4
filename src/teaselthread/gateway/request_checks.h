#ifndef TEASELTHREAD_GATEWAY_REQUEST_CHECKS_H_
#define TEASELTHREAD_GATEWAY_REQUEST_CHECKS_H_

#include <optional>
#include <string>

#include "libteaselthread/requests/reasons.h"
#include "teaselthread/gateway/gateway_state.h"

namespace teaselthread {

// What a request is, as far as the configuration tells.
struct ClassifiedRequest {
  CallerHead head;
  std::string host;
  std::string path;  // without the query
  Timestamp received_at{};

  // Set by the checks. The table keeps route and customer alive.
  RouteTablePtr routes;
  const Route* route = nullptr;
  const Customer* customer = nullptr;
  const ServiceSpec* service = nullptr;
  Timestamp deadline{};
};

// The checks that a request passes before it is sent anywhere. The first one
// that fails tells why it is refused.
class RequestChecks {
 public:
  explicit RequestChecks(GatewayState* state) : state_(state) {}

  std::optional<RefusalReason> Apply(ClassifiedRequest& request) const;
  // The last check, repeated before each send.
  std::optional<RefusalReason> CheckConfigurationFreshness(
      ClassifiedRequest& request) const;

 private:
  using Check =
      std::optional<RefusalReason> (RequestChecks::*)(ClassifiedRequest&) const;

  std::optional<RefusalReason> CheckRoute(ClassifiedRequest& request) const;
  std::optional<RefusalReason> CheckKey(ClassifiedRequest& request) const;
  std::optional<RefusalReason> CheckDeadline(ClassifiedRequest& request) const;

  static const Check kChecks[];

  GatewayState* state_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_REQUEST_CHECKS_H_
