#include "libteaselthread/streams/stream_origins.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace teaselthread {

std::string_view ToString(OriginSource source) {
  constexpr std::string_view kNames[kOriginSourceCount] = {
      "memory", "single-version", "record", "unconfirmed", "unknown"};
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
  if (!Insert(key, {service, version, begun_at, learned_ + 1, true}))
    return;
  std::deque<StreamKey>& fresh = to_send_[service].fresh;
  fresh.push_back(key);
  // Nothing is taken while the service has one version.
  while (!entries_.contains(fresh.front()))
    fresh.pop_front();
}

void StreamOrigins::OnReported(const StreamOrigin& origin, Timestamp now) {
  Insert(origin.key, {origin.service, origin.version, now - origin.age,
                      learned_ + 1, false});
}

void StreamOrigins::OnRecorded(const StreamOrigin& origin, Timestamp now) {
  Insert(origin.key,
         {origin.service, origin.version, now - origin.age, 0, false});
}

bool StreamOrigins::Insert(StreamKey key, Entry entry) {
  const Timestamp begun_at = entry.begun_at;
  const uint64_t sequence = entry.sequence;
  if (!entries_.try_emplace(key, std::move(entry)).second)
    return false;
  by_age_.emplace(begun_at, key);
  if (sequence > 0) {
    by_sequence_.emplace(sequence, key);
    learned_ = sequence;
  }
  if (entries_.size() > kMaxStreams)
    Erase(entries_.find(by_age_.begin()->second));
  return entries_.contains(key);
}

void StreamOrigins::Erase(Entries::iterator entry) {
  by_sequence_.erase(entry->second.sequence);
  const auto [begin, end] = by_age_.equal_range(entry->second.begun_at);
  by_age_.erase(std::find_if(begin, end, [&](const auto& item) {
    return item.second == entry->first;
  }));
  entries_.erase(entry);
}

std::optional<std::string> StreamOrigins::VersionOf(StreamKey key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? std::nullopt
                                 : std::optional(found->second.version);
}

void StreamOrigins::ForgetBefore(Timestamp time) {
  while (!by_age_.empty() && by_age_.begin()->first < time)
    Erase(entries_.find(by_age_.begin()->second));
}

StreamOrigin StreamOrigins::MakeOrigin(Entries::const_iterator entry,
                                       Timestamp now) {
  const auto& [key, value] = *entry;
  return {key, value.service, value.version,
          std::max(now - value.begun_at, Duration::zero())};
}

std::vector<StreamOrigin> StreamOrigins::TakeToSend(uint32_t service,
                                                    size_t max,
                                                    Timestamp now) {
  std::vector<StreamOrigin> batch;
  const auto found = to_send_.find(service);
  if (found == to_send_.end())
    return batch;
  auto& [fresh, repeated] = found->second;
  const auto add = [&](StreamKey key) {
    const auto entry = entries_.find(key);
    const bool fits = entry != entries_.end() && batch.size() < max;
    if (fits)
      batch.push_back(MakeOrigin(entry, now));
    return fits;
  };
  const std::vector<StreamKey> previous = std::exchange(repeated, {});
  while (!fresh.empty() && batch.size() < max) {
    if (add(fresh.back()))
      repeated.push_back(fresh.back());
    fresh.pop_back();
  }
  for (const StreamKey key : previous)
    add(key);
  if (fresh.empty() && repeated.empty())
    to_send_.erase(found);
  return batch;
}

void StreamOrigins::SendAgain(Timestamp time) {
  std::map<uint32_t, std::vector<StreamKey>> again;
  for (auto item = by_age_.lower_bound(time); item != by_age_.end(); ++item) {
    const Entry& entry = entries_.at(item->second);
    if (entry.is_own)
      again[entry.service].push_back(item->second);
  }
  for (const auto& [service, keys] : again) {
    std::deque<StreamKey>& fresh = to_send_[service].fresh;
    const std::set<StreamKey> waiting(fresh.begin(), fresh.end());
    for (const StreamKey key : keys) {
      if (!waiting.contains(key))
        fresh.push_back(key);
    }
  }
}

std::vector<StreamOrigin> StreamOrigins::LearnedAfter(
    uint64_t after,
    const std::set<uint32_t>& services,
    size_t max,
    Timestamp now) const {
  std::vector<StreamOrigin> origins;
  const auto add = [&](StreamKey key) {
    const auto entry = entries_.find(key);
    if (origins.size() < max && services.contains(entry->second.service))
      origins.push_back(MakeOrigin(entry, now));
  };
  for (auto item = by_sequence_.rbegin();
       item != by_sequence_.rend() && item->first > after; ++item)
    add(item->second);
  std::reverse(origins.begin(), origins.end());
  return origins;
}

bool StreamOrigins::HasLearnedAfter(uint64_t after,
                                    const std::set<uint32_t>& services) const {
  return std::any_of(
      by_sequence_.upper_bound(after), by_sequence_.end(),
      [&](const auto& item) {
        return services.contains(entries_.at(item.second).service);
      });
}

}  // namespace teaselthread
