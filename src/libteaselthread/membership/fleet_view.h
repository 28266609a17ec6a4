#ifndef TEASELTHREAD_MEMBERSHIP_FLEET_VIEW_H_
#define TEASELTHREAD_MEMBERSHIP_FLEET_VIEW_H_

#include <memory>
#include <string>

#include "libteaselthread/configuration_holder.h"
#include "libteaselthread/endpoint_directory.h"
#include "libteaselthread/load_table.h"
#include "libteaselthread/membership/membership.h"

namespace teaselthread {

// Read access to the state on which routing and admission decisions are based.
// The objects are owned by the node and outlive the view.
struct FleetView {
  const Membership* membership = nullptr;
  const ConfigurationHolder* configuration = nullptr;
  const EndpointDirectory* directory = nullptr;
  const LoadTable* loads = nullptr;

  // Null if the configuration does not list the endpoint's model or service.
  const EndpointPolicy* PolicyOf(const Endpoint& endpoint) const;
  // The endpoint's maximum load at this moment, chosen so that the load stays
  // within max(1, ceil(multiple x mean)). Unlimited for services.
  int LoadBoundOf(const Endpoint& endpoint,
                  const EndpointPolicy& policy,
                  Timestamp now) const;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_MEMBERSHIP_FLEET_VIEW_H_
