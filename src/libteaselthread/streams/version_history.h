#ifndef TEASELTHREAD_STREAMS_VERSION_HISTORY_H_
#define TEASELTHREAD_STREAMS_VERSION_HISTORY_H_

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
  // Endpoints of the version are registered at the moment.
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
  // Whether this node has known the registered versions since `time`.
  bool IsKnownSince(uint32_t service, Timestamp time) const;
  // When the records of all nodes were read; empty if they were not.
  const std::optional<Timestamp>& records_read_at() const {
    return records_read_at_;
  }

 private:
  struct Service {
    Timestamp known_since{};
    std::map<std::string, Timestamp> last_served_at;  // by version
  };

  std::map<uint32_t, Service> services_;
  std::optional<Timestamp> records_read_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STREAMS_VERSION_HISTORY_H_
