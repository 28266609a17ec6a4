#ifndef TEASELTHREAD_OWNERSHIP_H_
#define TEASELTHREAD_OWNERSHIP_H_

#include "libteaselthread/endpoint.h"
#include "libteaselthread/membership.h"

namespace teaselthread {

// The node that admits all work to the endpoint in this view of the members:
// by rendezvous hash among the serving nodes of the endpoint's zone, or among
// all serving nodes if the zone has none. Null if there is no serving node.
const Member* OwnerOf(const Endpoint& endpoint, const Membership& membership);

}  // namespace teaselthread

#endif  // TEASELTHREAD_OWNERSHIP_H_
