#include "libteaselthread/ownership.h"

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {

const Member* OwnerOf(const Endpoint& endpoint, const Membership& membership) {
  const Member* best = nullptr;
  uint64_t best_weight = 0;
  bool best_is_near = false;
  for (const Member* member : membership.serving()) {
    const bool is_near = member->zone == endpoint.zone;
    const uint64_t weight = RendezvousWeight(endpoint.name, member->name);
    const bool is_better =
        is_near != best_is_near ? is_near : weight >= best_weight;
    if (best && !is_better)
      continue;
    best = member;
    best_weight = weight;
    best_is_near = is_near;
  }
  return best;
}

}  // namespace teaselthread
