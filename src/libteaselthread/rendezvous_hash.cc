#include "libteaselthread/rendezvous_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace teaselthread {

uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

}  // namespace teaselthread
