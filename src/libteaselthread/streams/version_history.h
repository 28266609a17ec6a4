#ifndef TEASELTHREAD_STREAMS_VERSION_HISTORY_H_
#define TEASELTHREAD_STREAMS_VERSION_HISTORY_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Which versions of each service have served lately, as far as this node knows.
// Services are identified by the ShortHash of their names.
class VersionHistory {
 public:
  // The endpoints were listed at `time`, and all changes of the list since then
  // are known. What was registered before and is not in the list is unknown.
  void OnListed(Timestamp time) { known_since_ = time; }
  // Endpoints of the version are registered at the moment, or were since the
  // last call.
  void OnRegistered(uint32_t service,
                    const std::string& version,
                    Timestamp now);
  // Another node has recorded that the version served at `time`.
  void OnRecorded(uint32_t service, const std::string& version, Timestamp time);
  // The records of all nodes, as of `time`, have been read.
  void OnRecordsRead(Timestamp time);

  // Versions that have served since `time`, with the time when each of them
  // served last.
  std::map<std::string, Timestamp> LastServedSince(uint32_t service,
                                                   Timestamp time) const;
  // Whether more than one version has.
  bool IsMixedSince(uint32_t service, Timestamp time) const {
    return LastServedSince(service, time).size() > 1;
  }
  // Whether this node knows all versions that were registered since `time`.
  bool IsKnownSince(Timestamp time) const {
    return known_since_ && *known_since_ <= time;
  }
  // Whether the records of all nodes were read at `time` or later, and after
  // the endpoints were listed. They name the versions that served before,
  // except those that were replaced within moments.
  bool HasReadRecordsSince(Timestamp time) const {
    return records_read_at_ &&
           *records_read_at_ >= std::max(time, known_since_.value_or(time));
  }
  // When the records of all nodes were read; empty if they were not.
  const std::optional<Timestamp>& records_read_at() const {
    return records_read_at_;
  }

 private:
  // By service and version.
  std::map<uint32_t, std::map<std::string, Timestamp>> last_served_at_;
  std::optional<Timestamp> known_since_;
  std::optional<Timestamp> records_read_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STREAMS_VERSION_HISTORY_H_
