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

// What has to be placed.
struct PlacementQuery {
  EndpointKind kind = EndpointKind::kModelEngine;
  std::string target;    // model or service
  std::string affinity;  // equal for the turns of one chat
  std::string hint;      // endpoint that answered the previous turn, or empty
  std::set<std::string> excluded;  // refused for good
  std::set<std::string> busy;      // refused, but may be waited for

  friend auto operator<=>(const PlacementQuery&,
                          const PlacementQuery&) = default;
};

struct Placement {
  // The wait of a call for which there is no other endpoint to try: until its
  // deadline.
  static constexpr Duration kUntilDeadline = std::chrono::hours(24);

  std::string endpoint;
  std::string owner;    // the node that admits work to it
  Duration max_wait{};  // how long the call may wait for a place there

  friend auto operator<=>(const Placement&, const Placement&) = default;
};

// Chooses an endpoint for a request: the hinted endpoint, then the order of
// rendezvous hashing over the chat, skipping endpoints at their bound
// (consistent hashing with bounded loads: Mirrokni, Thorup and Zadimoghaddam
// 2016). A returning chat may wait a little for the endpoint that holds its
// context. Where all are at their bound, the least loaded queues the request.
class Router {
 public:
  explicit Router(FleetView fleet) : fleet_(fleet), owners_(fleet.membership) {}

  std::variant<Placement, RefusedNotRun> Place(const PlacementQuery& query,
                                               Timestamp now) const;

 private:
  // The endpoints that may be tried, in the order of preference.
  std::vector<const Endpoint*> Usable(const PlacementQuery& query) const;
  Duration ContextWait(const Endpoint& endpoint) const;
  bool HasRoom(const Endpoint& endpoint, Timestamp now) const;
  std::variant<Placement, RefusedNotRun> PlaceAt(const Endpoint& endpoint,
                                                 Duration max_wait) const;

  FleetView fleet_;
  OwnerIndex owners_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROUTER_H_
