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

// What an endpoint's owner says of it. Load is work admitted and not ended.
struct EndpointLoad {
  std::string endpoint;
  std::string owner;  // the node that admits work to it
  uint32_t load = 0;
  EndpointTemperature temperature = EndpointTemperature::kCold;
  uint64_t sequence = 0;  // a higher one replaces a lower one

  friend auto operator<=>(const EndpointLoad&, const EndpointLoad&) = default;
};

// The newest load that this node knows for each endpoint, its own and those
// that peers have passed on.
class LoadTable {
 public:
  static constexpr Duration kMaxReportAge = std::chrono::seconds(2);

  // Returns whether the report was newer than the one known.
  bool Merge(const EndpointLoad& report, Timestamp now);

  const EndpointLoad* Find(const std::string& endpoint) const;
  // 0 without a report.
  uint32_t LoadOf(const std::string& endpoint) const;

  // The load, or 0 if nothing newer than kMaxReportAge has been heard.
  uint32_t RecentLoadOf(const std::string& endpoint, Timestamp now) const;

  // Up to `most` of the reports that were merged last and have been sent to
  // peers the fewest times. Each call counts as one sending.
  std::vector<EndpointLoad> PickForPeer(size_t most);
  // Drops endpoints that are no longer on the list.
  void Forget(const EndpointDirectory& directory);

 private:
  struct Entry {
    EndpointLoad report;
    uint32_t times_sent = 0;
    Timestamp heard_at{};
  };

  std::unordered_map<std::string, Entry> entries_;
  std::deque<std::string> unsent_;  // endpoints with news for peers
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_LOAD_TABLE_H_
