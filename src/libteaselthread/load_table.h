#ifndef TEASELTHREAD_LOAD_TABLE_H_
#define TEASELTHREAD_LOAD_TABLE_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "libteaselthread/endpoint.h"
#include "libteaselthread/endpoint_directory.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// An endpoint's state as reported by its owner. The load is the number of calls
// that have been admitted and have not ended.
struct EndpointLoad {
  std::string endpoint;
  std::string owner;  // the node that admits calls to it
  uint32_t load = 0;
  EndpointTemperature temperature = EndpointTemperature::kCold;
  uint64_t sequence = 0;  // a report replaces one with a lower sequence

  friend auto operator<=>(const EndpointLoad&, const EndpointLoad&) = default;
};

// The newest load report for each endpoint, from this node and from its
// peers.
class LoadTable {
 public:
  static constexpr Duration kMaxReportAge = std::chrono::seconds(2);

  // Returns whether the report was newer than the stored one.
  bool Merge(const EndpointLoad& report, Timestamp now);

  const EndpointLoad* Find(const std::string& endpoint) const;
  // 0 if there is no report.
  uint32_t LoadOf(const std::string& endpoint) const;

  // The load, or 0 if no report has been received within kMaxReportAge.
  uint32_t RecentLoadOf(const std::string& endpoint, Timestamp now) const;

  // Returns up to `max_count` reports to send to a peer, those that changed
  // most recently and have been sent the fewest times first. Each call counts
  // as one transmission.
  std::vector<EndpointLoad> PickForPeer(size_t max_count);
  // Removes endpoints that are no longer on the platform's list.
  void Forget(const EndpointDirectory& directory);

 private:
  struct Entry {
    EndpointLoad report;
    uint32_t transmit_count = 0;
    Timestamp received_at{};
  };

  std::unordered_map<std::string, Entry> entries_;
  // Endpoints whose reports have still to be sent to peers.
  std::deque<std::string> propagation_queue_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_LOAD_TABLE_H_
