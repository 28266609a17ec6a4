#include "libteaselthread/rendezvous_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace teaselthread {

RendezvousKey::RendezvousKey(std::string_view key)
    : seed_(XXH3_64bits(key.data(), key.size())) {}

uint64_t RendezvousKey::WeightOf(std::string_view node) const {
  return XXH3_64bits_withSeed(node.data(), node.size(), seed_);
}

uint32_t RendezvousKey::RankOf(const std::string& node,
                               const std::vector<std::string>& nodes) const {
  const uint64_t weight = WeightOf(node);
  return static_cast<uint32_t>(
      std::count_if(nodes.begin(), nodes.end(), [&](const std::string& other) {
        return other != node && WeightOf(other) > weight;
      }));
}

uint32_t ShortHash(std::string_view text) {
  return static_cast<uint32_t>(XXH3_64bits(text.data(), text.size()));
}

}  // namespace teaselthread
