#include "teaselthread/requests/request_checks.h"

#include <algorithm>

namespace teaselthread {

int ClassifiedRequest::Priority() const {
  return customer && customer->priority ? *customer->priority : route->priority;
}

const RequestChecks::Check RequestChecks::kChecks[] = {
    &RequestChecks::CheckRoute,   &RequestChecks::CheckConfigurationFreshness,
    &RequestChecks::CheckKey,     &RequestChecks::CheckDeadline,
    &RequestChecks::CheckLeaving,
};

std::optional<RefusalReason> RequestChecks::Apply(
    ClassifiedRequest& request) const {
  for (const Check check : kChecks) {
    if (const auto refusal = (this->*check)(request))
      return refusal;
  }
  return std::nullopt;
}

std::optional<RefusalReason> RequestChecks::CheckRoute(
    ClassifiedRequest& request) const {
  request.routes = state_->routes();
  if (!request.routes)
    return RefusalReason::kNotReady;
  request.route = request.routes->FindRoute(request.host, request.path);
  if (!request.route) {
    // If the configuration is stale, the route may have been added since.
    return state_->configuration_freshness().IsFresh(GatewayState::BootNow())
               ? RefusalReason::kUnknownRoute
               : StaleReason();
  }
  // A stream stays with the service that began it.
  const CallerHead& head = request.head;
  const bool names_origin = head.continues_stream && !head.resumed_id.empty();
  request.service = request.routes->FindService(
      PickService(*request.route, names_origin ? head.resumed_id : head.id));
  return std::nullopt;
}

std::optional<RefusalReason> RequestChecks::CheckConfigurationFreshness(
    ClassifiedRequest& request) const {
  const bool needs_key =
      request.routes->needs_keys() && !request.route->is_public;
  if (needs_key &&
      !state_->configuration_freshness().IsFresh(GatewayState::BootNow()))
    return StaleReason();
  return std::nullopt;
}

RefusalReason RequestChecks::StaleReason() const {
  return state_->peers().MayServeElsewhere(state_->Now())
             ? RefusalReason::kStaleConfiguration
             : RefusalReason::kFleetStale;
}

std::optional<RefusalReason> RequestChecks::CheckKey(
    ClassifiedRequest& request) const {
  if (!request.routes->needs_keys() || request.route->is_public)
    return std::nullopt;
  request.customer = request.routes->FindCustomer(request.head.key);
  return request.customer ? std::nullopt
                          : std::optional(RefusalReason::kUnknownKey);
}

std::optional<RefusalReason> RequestChecks::CheckDeadline(
    ClassifiedRequest& request) const {
  Duration time = request.route->timeout;
  if (request.head.time_left)
    time = std::min(time, *request.head.time_left);
  request.deadline = request.received_at + time;
  if (request.deadline <= state_->Now())
    return RefusalReason::kDeadlinePassed;
  return std::nullopt;
}

std::optional<RefusalReason> RequestChecks::CheckLeaving(
    ClassifiedRequest& request) const {
  const auto& schedule = state_->leaving_schedule();
  if (schedule && !schedule->Serves(state_->Now(), request.deadline))
    return RefusalReason::kLeaving;
  return std::nullopt;
}

}  // namespace teaselthread
