#ifndef TEASELTHREAD_EMULATOR_PREFIX_CACHE_H_
#define TEASELTHREAD_EMULATOR_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "libteaselthread/endpoints/endpoint_selector.h"

namespace teaselthread::emulator {

// The KV cache of one engine: prompt parts, the least recently used of which
// yield. A part counts only while all parts before it are cached too.
class PrefixCache {
 public:
  explicit PrefixCache(uint64_t capacity_tokens)
      : capacity_tokens_(capacity_tokens) {}

  // Tokens at the head of the prompt that need not be read.
  uint64_t CachedTokens(const std::vector<PromptPart>& prompt) const;
  // The whole prompt has been read.
  void Insert(const std::vector<PromptPart>& prompt);
  void Clear();

 private:
  struct Entry {
    uint64_t tokens = 0;
    std::list<std::string>::iterator use;
  };

  uint64_t capacity_tokens_;
  uint64_t tokens_ = 0;
  std::list<std::string> uses_;  // most recent first
  std::map<std::string, Entry> entries_;
};

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_PREFIX_CACHE_H_
