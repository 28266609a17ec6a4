#ifndef TEASELTHREAD_EMULATOR_PREFIX_CACHE_H_
#define TEASELTHREAD_EMULATOR_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "libteaselthread/endpoints/endpoint_selector.h"

namespace teaselthread::emulator {

// The KV cache of one engine. Caches prompt parts with LRU eviction. A part is
// usable only while all parts before it in the prompt are cached too.
class PrefixCache {
 public:
  explicit PrefixCache(uint64_t capacity_tokens)
      : capacity_tokens_(capacity_tokens) {}

  // Tokens of the prompt's longest cached prefix.
  uint64_t CachedTokens(const std::vector<PromptPart>& prompt) const;
  // Adds all parts of a prompt whose prefill has finished.
  void Insert(const std::vector<PromptPart>& prompt);
  void Clear();

 private:
  struct Entry {
    uint64_t tokens = 0;
    std::list<std::string>::iterator lru_position;
  };

  uint64_t capacity_tokens_;
  uint64_t tokens_ = 0;
  std::list<std::string> lru_order_;  // most recently used first
  std::map<std::string, Entry> entries_;
};

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_PREFIX_CACHE_H_
