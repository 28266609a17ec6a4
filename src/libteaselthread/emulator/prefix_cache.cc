#include "libteaselthread/emulator/prefix_cache.h"

namespace teaselthread::emulator {

uint64_t PrefixCache::CachedTokens(
    const std::vector<PromptPart>& prompt) const {
  uint64_t tokens = 0;
  for (const PromptPart& part : prompt) {
    if (!entries_.contains(part.id))
      break;
    tokens += part.tokens;
  }
  return tokens;
}

void PrefixCache::Insert(const std::vector<PromptPart>& prompt) {
  // From the end, so that the first parts, which most share, stay longest.
  for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
    const auto found = entries_.find(part->id);
    if (found != entries_.end()) {
      uses_.splice(uses_.begin(), uses_, found->second.use);
      continue;
    }
    uses_.push_front(part->id);
    entries_[part->id] = {part->tokens, uses_.begin()};
    tokens_ += part->tokens;
  }
  while (tokens_ > capacity_tokens_ && !uses_.empty()) {
    const auto least_recent = entries_.find(uses_.back());
    tokens_ -= least_recent->second.tokens;
    entries_.erase(least_recent);
    uses_.pop_back();
  }
}

void PrefixCache::Clear() {
  entries_.clear();
  uses_.clear();
  tokens_ = 0;
}

}  // namespace teaselthread::emulator
