#ifndef TEASELTHREAD_REQUESTS_REQUEST_FILTERS_H_
#define TEASELTHREAD_REQUESTS_REQUEST_FILTERS_H_

#include "libteaselthread/membership/fleet_view.h"
#include "libteaselthread/requests/customer_limiter.h"
#include "libteaselthread/requests/filter_chain.h"
#include "libteaselthread/requests/ticket.h"

namespace teaselthread {

// Finds the profile and checks that the target exists.
class IdentifyFilter : public RequestFilter {
 public:
  explicit IdentifyFilter(FleetView fleet) : fleet_(fleet) {}
  std::optional<RefusedNotRun> Apply(RequestContext& context,
                                     Timestamp now) override;

 private:
  FleetView fleet_;
};

// Sets the deadline: the profile's, or the caller's own if that is earlier.
class DeadlineFilter : public RequestFilter {
 public:
  std::optional<RefusedNotRun> Apply(RequestContext& context,
                                     Timestamp now) override;
};

// Asks a call that may not be repeated for an idempotency key with a ticket.
class TicketFilter : public RequestFilter {
 public:
  std::optional<RefusedNotRun> Apply(RequestContext& context,
                                     Timestamp now) override;
};

// Holds the customer to its limits.
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

// The chain that a request passes at its entry node.
FilterChain MakeEntryChain(FleetView fleet);

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_REQUEST_FILTERS_H_
