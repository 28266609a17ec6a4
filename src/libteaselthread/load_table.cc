#include "libteaselthread/load_table.h"

#include <algorithm>

namespace teaselthread {
namespace {

// Number of times a report is sent to peers; after that, it is assumed to be
// known to all nodes.
constexpr uint32_t kTransmitsPerReport = 6;

}  // namespace

bool LoadTable::Merge(const EndpointLoad& report, Timestamp now) {
  Entry& entry = entries_[report.endpoint];
  const bool is_known = !entry.report.endpoint.empty();
  if (is_known && report.sequence <= entry.report.sequence)
    return false;
  const bool is_changed = !is_known || entry.report.load != report.load ||
                          entry.report.owner != report.owner ||
                          entry.report.temperature != report.temperature;
  entry.report = report;
  entry.received_at = now;
  if (!is_changed)
    return true;
  if (entry.transmit_count == 0 ||
      entry.transmit_count >= kTransmitsPerReport) {
    std::erase(propagation_queue_, report.endpoint);
    propagation_queue_.push_front(report.endpoint);
  }
  entry.transmit_count = 0;
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
  const bool is_recent = found != entries_.end() &&
                         now - found->second.received_at <= kMaxReportAge;
  return is_recent ? found->second.report.load : 0;
}

std::vector<EndpointLoad> LoadTable::PickForPeer(size_t max_count) {
  std::vector<EndpointLoad> picked;
  const size_t count = std::min(max_count, propagation_queue_.size());
  for (size_t i = 0; i < count; ++i) {
    const std::string name = propagation_queue_.front();
    propagation_queue_.pop_front();
    Entry& entry = entries_[name];
    picked.push_back(entry.report);
    if (++entry.transmit_count < kTransmitsPerReport)
      propagation_queue_.push_back(name);
  }
  return picked;
}

void LoadTable::Forget(const EndpointDirectory& directory) {
  std::erase_if(entries_,
                [&](const auto& item) { return !directory.Find(item.first); });
  std::erase_if(propagation_queue_,
                [&](const std::string& name) { return !directory.Find(name); });
}

}  // namespace teaselthread
