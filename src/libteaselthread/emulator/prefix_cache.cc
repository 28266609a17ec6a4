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
  // Visits parts from last to first, so that the first parts, which most
  // prompts share, become the most recently used and are evicted last.
  for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
    const auto found = entries_.find(part->id);
    if (found != entries_.end()) {
      lru_order_.splice(lru_order_.begin(), lru_order_,
                        found->second.lru_position);
      continue;
    }
    lru_order_.push_front(part->id);
    entries_[part->id] = {part->tokens, lru_order_.begin()};
    tokens_ += part->tokens;
  }
  while (tokens_ > capacity_tokens_ && !lru_order_.empty()) {
    const auto least_recently_used = entries_.find(lru_order_.back());
    tokens_ -= least_recently_used->second.tokens;
    entries_.erase(least_recently_used);
    lru_order_.pop_back();
  }
}

void PrefixCache::Clear() {
  entries_.clear();
  lru_order_.clear();
  tokens_ = 0;
}

}  // namespace teaselthread::emulator
