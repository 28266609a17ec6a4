#include "libteaselthread/streams/stream_origins.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace teaselthread {

std::string_view ToString(OriginSource source) {
  constexpr std::string_view kNames[kOriginSourceCount] = {
      "memory", "single-version", "record", "unknown"};
  return kNames[static_cast<size_t>(source)];
}

StreamKey StreamKey::Of(std::string_view service,
                        std::string_view customer,
                        std::string_view request_id) {
  uint64_t hash = 0;
  for (const std::string_view part : {service, customer, request_id})
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
  return {hash};
}

void StreamOrigins::Add(StreamKey key,
                        uint32_t service,
                        const std::string& version,
                        Timestamp begun_at) {
  if (!entries_.try_emplace(key, Entry{service, version, begun_at}).second)
    return;
  by_age_.emplace(begun_at, key);
  if (entries_.size() <= kMaxStreams)
    return;
  entries_.erase(by_age_.begin()->second);
  by_age_.erase(by_age_.begin());
}

std::optional<std::string> StreamOrigins::VersionOf(StreamKey key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? std::nullopt
                                 : std::optional(found->second.version);
}

void StreamOrigins::ForgetBefore(Timestamp time) {
  const auto end = by_age_.lower_bound(time);
  for (auto item = by_age_.begin(); item != end; ++item)
    entries_.erase(item->second);
  by_age_.erase(by_age_.begin(), end);
}

}  // namespace teaselthread
