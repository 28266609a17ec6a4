#include "libteaselthread/membership/owner_index.h"

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {

const Member* OwnerIndex::OwnerOf(const Endpoint& endpoint) const {
  return OwnerWithout("", endpoint);
}

const Member* OwnerIndex::OwnerWithout(const std::string& without,
                                       const Endpoint& endpoint) const {
  Refresh();
  auto zone = by_zone_.find(endpoint.zone);
  const Member* near =
      zone == by_zone_.end() ? nullptr : Best(zone->second, without, endpoint);
  return near ? near : Best(serving_, without, endpoint);
}

const Member* OwnerIndex::Best(const Members& candidates,
                               const std::string& without,
                               const Endpoint& endpoint) {
  const RendezvousKey key(endpoint.name);
  const Member* best = nullptr;
  uint64_t best_weight = 0;
  for (const Member* member : candidates) {
    const uint64_t weight = key.WeightOf(member->name);
    if (member->name == without || (best && weight < best_weight))
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
