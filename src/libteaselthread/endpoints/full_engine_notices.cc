#include "libteaselthread/endpoints/full_engine_notices.h"

#include <algorithm>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

// Share of the load bound from which an engine counts as full.
constexpr double kFullShare = 0.9;
// An older count says nothing that a heartbeat has not said.
constexpr Duration kMaxAge = std::chrono::milliseconds(500);
// After this time the count of an engine does not delay a new one.
constexpr Duration kRetention = std::chrono::seconds(5);

}  // namespace

std::vector<LoadUpdate> FullEngineNotices::TakeDue(
    const std::vector<EndpointPtr>& engines,
    double load_bound,
    Timestamp now) {
  std::vector<LoadUpdate> due;
  for (const EndpointPtr& engine : engines) {
    const auto count = engine->LatestCount(kMaxAge, now);
    if (!count || count->requests < kFullShare * load_bound)
      continue;
    const uint32_t endpoint = ShortHash(engine->record().id);
    const auto shared_at = shared_at_.find(endpoint);
    if (shared_at != shared_at_.end() &&
        count->at - shared_at->second < kMinInterval)
      continue;
    due.push_back({endpoint, count->requests, now - count->at});
    if (due.size() == kMaxNotices)
      break;
  }
  for (const LoadUpdate& count : due)
    OnShared(count, now);
  return due;
}

void FullEngineNotices::OnShared(const LoadUpdate& count, Timestamp now) {
  std::erase_if(shared_at_, [now](const auto& item) {
    return now - item.second > kRetention;
  });
  Timestamp& shared_at = shared_at_[count.endpoint];
  shared_at = std::max(shared_at, now - count.age);
}

}  // namespace teaselthread
