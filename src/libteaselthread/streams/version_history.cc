#include "libteaselthread/streams/version_history.h"

#include <algorithm>

namespace teaselthread {

void VersionHistory::OnRegistered(uint32_t service,
                                  const std::string& version,
                                  Timestamp now) {
  Service& known = services_[service];
  if (known.known_since == Timestamp{})
    known.known_since = now;
  known.last_served_at[version] = now;
}

void VersionHistory::OnRecorded(uint32_t service,
                                const std::string& version,
                                Timestamp time) {
  Timestamp& last = services_[service].last_served_at[version];
  last = std::max(last, time);
}

void VersionHistory::OnRecordsRead(Timestamp time) {
  records_read_at_ = std::max(records_read_at_.value_or(time), time);
}

std::map<std::string, Timestamp> VersionHistory::LastServedSince(
    uint32_t service,
    Timestamp time) const {
  std::map<std::string, Timestamp> versions;
  const auto found = services_.find(service);
  if (found == services_.end())
    return versions;
  for (const auto& [version, last_served_at] : found->second.last_served_at) {
    if (last_served_at >= time)
      versions.emplace(version, last_served_at);
  }
  return versions;
}

bool VersionHistory::IsKnownSince(uint32_t service, Timestamp time) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.known_since != Timestamp{} &&
         found->second.known_since <= time;
}

}  // namespace teaselthread
