#include "libteaselthread/owner_index.h"

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {

const Member* OwnerIndex::OwnerOf(const Endpoint& endpoint) const {
  Refresh();
  auto zone = by_zone_.find(endpoint.zone);
  const Members& candidates = zone == by_zone_.end() ? serving_ : zone->second;
  const RendezvousKey key(endpoint.name);
  const Member* best = nullptr;
  uint64_t best_weight = 0;
  for (const Member* member : candidates) {
    const uint64_t weight = key.WeightOf(member->name);
    if (best && weight < best_weight)
      continue;
    best = member;
    best_weight = weight;
  }
  return best;
}

void OwnerIndex::Refresh() const {
  if (is_built_ && built_for_ == membership_->revision())
    return;
  is_built_ = true;
  built_for_ = membership_->revision();
  serving_ = membership_->serving();
  by_zone_.clear();
  for (const Member* member : serving_)
    by_zone_[member->zone].push_back(member);
}

}  // namespace teaselthread
