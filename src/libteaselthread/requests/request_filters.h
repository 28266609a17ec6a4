#ifndef TEASELTHREAD_REQUESTS_REQUEST_FILTERS_H_
#define TEASELTHREAD_REQUESTS_REQUEST_FILTERS_H_

#include "libteaselthread/membership/fleet_view.h"
#include "libteaselthread/requests/customer_limiter.h"
#include "libteaselthread/requests/filter_chain.h"
#include "libteaselthread/requests/ticket.h"

namespace teaselthread {

// Looks up the request's profile and checks that its target exists.
class ProfileFilter : public RequestFilter {
 public:
  explicit ProfileFilter(FleetView fleet) : fleet_(fleet) {}
  std::optional<RefusedNotRun> Apply(RequestContext& context,
                                     Timestamp now) override;

 private:
  FleetView fleet_;
};

// Sets the deadline: that of the profile, or that of the caller if it is
// earlier.
class DeadlineFilter : public RequestFilter {
 public:
  std::optional<RefusedNotRun> Apply(RequestContext& context,
                                     Timestamp now) override;
};

// Requires an idempotency key with a ticket for calls that may not be repeated.
class TicketFilter : public RequestFilter {
 public:
  std::optional<RefusedNotRun> Apply(RequestContext& context,
                                     Timestamp now) override;
};

// Enforces the customer's limits.
class LimitFilter : public RequestFilter {
 public:
  explicit LimitFilter(FleetView fleet) : fleet_(fleet) {}
  std::optional<RefusedNotRun> Apply(RequestContext& context,
                                     Timestamp now) override;
  void OnEnd(const RequestContext& context) override;

 private:
  FleetView fleet_;
  CustomerLimiter limiter_;
};

// Creates the filter chain that a request passes through at its entry node.
FilterChain MakeEntryChain(FleetView fleet);

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_REQUEST_FILTERS_H_
