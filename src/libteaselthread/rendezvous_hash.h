#ifndef TEASELTHREAD_RENDEZVOUS_HASH_H_
#define TEASELTHREAD_RENDEZVOUS_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teaselthread {

// Highest random weight hashing (Thaler and Ravishankar 1998): a key is
// assigned to the node with the highest weight for it, so that adding or
// removing a node moves only that node's keys.
class RendezvousKey {
 public:
  explicit RendezvousKey(std::string_view key);

  uint64_t WeightOf(std::string_view node) const;
  // Number of `nodes` other than `node` that have a higher weight than it.
  uint32_t RankOf(const std::string& node,
                  const std::vector<std::string>& nodes) const;

 private:
  uint64_t seed_;
};

// A 32-bit hash that is the same on all nodes.
uint32_t ShortHash(std::string_view text);

}  // namespace teaselthread

#endif  // TEASELTHREAD_RENDEZVOUS_HASH_H_
