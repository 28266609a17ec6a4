#include "libteaselthread/rendezvous_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace teaselthread {

RendezvousKey::RendezvousKey(std::string_view key)
    : seed_(XXH3_64bits(key.data(), key.size())) {}

uint64_t RendezvousKey::WeightOf(std::string_view node) const {
  return XXH3_64bits_withSeed(node.data(), node.size(), seed_);
}

uint32_t ShortHash(std::string_view text) {
  return static_cast<uint32_t>(XXH3_64bits(text.data(), text.size()));
}

}  // namespace teaselthread
