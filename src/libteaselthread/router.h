#ifndef TEASELTHREAD_ROUTER_H_
#define TEASELTHREAD_ROUTER_H_

#include <compare>
#include <set>
#include <string>
#include <variant>

#include "libteaselthread/membership/fleet_view.h"
#include "libteaselthread/membership/owner_index.h"
#include "libteaselthread/requests/outcome.h"

namespace teaselthread {

// Describes a request for which an endpoint is to be chosen.
struct PlacementQuery {
  EndpointKind kind = EndpointKind::kModelEngine;
  std::string target;    // model or service
  std::string affinity;  // the same for all turns of one chat
  std::string hint;      // endpoint that answered the previous turn, or empty
  std::set<std::string> excluded;  // refused the request; not to be retried
  std::set<std::string> busy;      // refused as busy; the request may queue

  friend auto operator<=>(const PlacementQuery&,
                          const PlacementQuery&) = default;
};

struct Placement {
  // The `max_wait` of a call for which there is no other endpoint to try. The
  // deadline ends its wait.
  static constexpr Duration kUntilDeadline = std::chrono::hours(24);

  std::string endpoint;
  std::string owner;    // the node that admits calls to it
  Duration max_wait{};  // how long the call may wait for a slot there

  friend auto operator<=>(const Placement&, const Placement&) = default;
};

// Chooses an endpoint for a request: the hinted endpoint first, then the others
// in the order of rendezvous hashing over the chat, skipping endpoints at their
// bound (consistent hashing with bounded loads: Mirrokni, Thorup and
// Zadimoghaddam 2016). A returning chat may wait for a limited time for the
// endpoint that holds its context. If all endpoints are at their bound, the
// request is queued at the least loaded one.
class Router {
 public:
  explicit Router(FleetView fleet) : fleet_(fleet), owners_(fleet.membership) {}

  std::variant<Placement, RefusedNotRun> Place(const PlacementQuery& query,
                                               Timestamp now) const;

 private:
  // The endpoints that may be tried, in order of preference.
  std::vector<const Endpoint*> Usable(const PlacementQuery& query) const;
  Duration ContextWait(const Endpoint& endpoint) const;
  bool HasCapacity(const Endpoint& endpoint, Timestamp now) const;
  std::variant<Placement, RefusedNotRun> PlaceAt(const Endpoint& endpoint,
                                                 Duration max_wait) const;

  FleetView fleet_;
  OwnerIndex owners_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROUTER_H_
