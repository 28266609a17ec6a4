#ifndef TEASELTHREAD_RENDEZVOUS_HASH_H_
#define TEASELTHREAD_RENDEZVOUS_HASH_H_

#include <cstdint>
#include <string_view>

namespace teaselthread {

// Highest random weight hashing (Thaler and Ravishankar 1998): a key is
// assigned to the node with the highest weight for it, so that adding or
// removing a node moves only that node's keys.
class RendezvousKey {
 public:
  explicit RendezvousKey(std::string_view key);

  uint64_t WeightOf(std::string_view node) const;

 private:
  uint64_t seed_;
};

// A 32-bit hash that is the same on all nodes.
uint32_t ShortHash(std::string_view text);

}  // namespace teaselthread

#endif  // TEASELTHREAD_RENDEZVOUS_HASH_H_
