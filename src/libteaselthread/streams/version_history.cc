#include "libteaselthread/streams/version_history.h"

#include <algorithm>

namespace teaselthread {

void VersionHistory::OnRegistered(uint32_t service,
                                  const std::string& version,
                                  Timestamp now) {
  last_served_at_[service][version] = now;
}

void VersionHistory::OnRecorded(uint32_t service,
                                const std::string& version,
                                Timestamp time) {
  Timestamp& last = last_served_at_[service][version];
  last = std::max(last, time);
}

void VersionHistory::OnRecordsRead(Timestamp time) {
  records_read_at_ = std::max(records_read_at_.value_or(time), time);
}

std::map<std::string, Timestamp> VersionHistory::LastServedSince(
    uint32_t service,
    Timestamp time) const {
  std::map<std::string, Timestamp> versions;
  const auto found = last_served_at_.find(service);
  if (found == last_served_at_.end())
    return versions;
  for (const auto& [version, last_served_at] : found->second) {
    if (last_served_at >= time)
      versions.emplace(version, last_served_at);
  }
  return versions;
}

}  // namespace teaselthread
