#ifndef TEASELTHREAD_MEMBERSHIP_OWNER_INDEX_H_
#define TEASELTHREAD_MEMBERSHIP_OWNER_INDEX_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libteaselthread/endpoint.h"
#include "libteaselthread/membership/membership.h"

namespace teaselthread {

// Determines the node that owns an endpoint, that is, admits all calls to it,
// in this view of the members: by rendezvous hashing among the serving nodes of
// the endpoint's zone, or among all serving nodes if the zone has none.
class OwnerIndex {
 public:
  explicit OwnerIndex(const Membership* membership) : membership_(membership) {}

  // Null if there is no serving node.
  const Member* OwnerOf(const Endpoint& endpoint) const;
  // The owner if the node named `excluded` is not considered.
  const Member* OwnerExcluding(const std::string& excluded,
                               const Endpoint& endpoint) const;

 private:
  using Members = std::vector<const Member*>;

  static const Member* HighestWeight(const Members& candidates,
                                     const std::string& excluded,
                                     const Endpoint& endpoint);
  // Regroups the members if they have changed.
  void Refresh() const;

  const Membership* membership_;
  mutable bool is_built_ = false;
  mutable uint64_t built_for_revision_ = 0;
  mutable Members serving_;
  mutable std::map<std::string, Members> by_zone_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_MEMBERSHIP_OWNER_INDEX_H_
