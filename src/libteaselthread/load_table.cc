#include "libteaselthread/load_table.h"

#include <algorithm>

namespace teaselthread {
namespace {

// How often one report is passed on before it counts as known to all.
constexpr uint32_t kSendingsPerReport = 6;

}  // namespace

bool LoadTable::Merge(const EndpointLoad& report, Timestamp now) {
  Entry& entry = entries_[report.endpoint];
  const bool is_known = !entry.report.endpoint.empty();
  if (is_known && report.sequence <= entry.report.sequence)
    return false;
  const bool is_news = !is_known || entry.report.load != report.load ||
                       entry.report.owner != report.owner ||
                       entry.report.temperature != report.temperature;
  entry.report = report;
  entry.heard_at = now;
  if (!is_news)
    return true;
  if (entry.times_sent == 0 || entry.times_sent >= kSendingsPerReport) {
    std::erase(unsent_, report.endpoint);
    unsent_.push_front(report.endpoint);
  }
  entry.times_sent = 0;
  return true;
}

const EndpointLoad* LoadTable::Find(const std::string& endpoint) const {
  auto found = entries_.find(endpoint);
  return found == entries_.end() ? nullptr : &found->second.report;
}

uint32_t LoadTable::LoadOf(const std::string& endpoint) const {
  const EndpointLoad* report = Find(endpoint);
  return report ? report->load : 0;
}

uint32_t LoadTable::RecentLoadOf(const std::string& endpoint,
                                 Timestamp now) const {
  auto found = entries_.find(endpoint);
  const bool is_recent =
      found != entries_.end() && now - found->second.heard_at <= kMaxReportAge;
  return is_recent ? found->second.report.load : 0;
}

std::vector<EndpointLoad> LoadTable::PickForPeer(size_t most) {
  std::vector<EndpointLoad> picked;
  const size_t count = std::min(most, unsent_.size());
  for (size_t i = 0; i < count; ++i) {
    const std::string name = unsent_.front();
    unsent_.pop_front();
    Entry& entry = entries_[name];
    picked.push_back(entry.report);
    if (++entry.times_sent < kSendingsPerReport)
      unsent_.push_back(name);
  }
  return picked;
}

void LoadTable::Forget(const EndpointDirectory& directory) {
  std::erase_if(entries_,
                [&](const auto& item) { return !directory.Find(item.first); });
  std::erase_if(unsent_,
                [&](const std::string& name) { return !directory.Find(name); });
}

}  // namespace teaselthread
