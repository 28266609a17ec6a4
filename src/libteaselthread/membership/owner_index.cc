#include "libteaselthread/membership/owner_index.h"

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {

const Member* OwnerIndex::OwnerOf(const Endpoint& endpoint) const {
  return OwnerExcluding("", endpoint);
}

const Member* OwnerIndex::OwnerExcluding(const std::string& excluded,
                                         const Endpoint& endpoint) const {
  Refresh();
  auto zone = by_zone_.find(endpoint.zone);
  const Member* in_zone = zone == by_zone_.end()
                              ? nullptr
                              : HighestWeight(zone->second, excluded, endpoint);
  return in_zone ? in_zone : HighestWeight(serving_, excluded, endpoint);
}

const Member* OwnerIndex::HighestWeight(const Members& candidates,
                                        const std::string& excluded,
                                        const Endpoint& endpoint) {
  const RendezvousKey key(endpoint.name);
  const Member* best = nullptr;
  uint64_t best_weight = 0;
  for (const Member* member : candidates) {
    const uint64_t weight = key.WeightOf(member->name);
    if (member->name == excluded || (best && weight < best_weight))
      continue;
    best = member;
    best_weight = weight;
  }
  return best;
}

void OwnerIndex::Refresh() const {
  if (is_built_ && built_for_revision_ == membership_->revision())
    return;
  is_built_ = true;
  built_for_revision_ = membership_->revision();
  serving_ = membership_->serving();
  by_zone_.clear();
  for (const Member* member : serving_)
    by_zone_[member->zone].push_back(member);
}

}  // namespace teaselthread
