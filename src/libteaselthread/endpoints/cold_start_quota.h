#ifndef TEASELTHREAD_ENDPOINTS_COLD_START_QUOTA_H_
#define TEASELTHREAD_ENDPOINTS_COLD_START_QUOTA_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// What all nodes together may send to one cold endpoint in any second.
struct ColdStartLimit {
  double requests_per_second = 0;

  friend auto operator<=>(const ColdStartLimit&,
                          const ColdStartLimit&) = default;
};

// This node's share of a cold endpoint's limit, in requests a second. Every
// node works it out alone: all shares add up to the limit at most, also while
// nodes differ by a few in whom they take for alive. Where the limit is lower
// than the number of nodes, a few nodes by hash have one request each.
//
// Load pattern: an endpoint, or all of an availability zone, comes back cold
// while every node has requests for it.
uint32_t ColdStartShare(const ColdStartLimit& limit,
                        const std::string& endpoint_id,
                        const std::string& self,
                        const std::vector<std::string>& nodes);

// Counts the requests of the last second.
class ColdStartQuota {
 public:
  bool Allows(uint32_t share, Timestamp now) const;
  void OnSend(Timestamp now);

 private:
  std::deque<Timestamp> sends_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_COLD_START_QUOTA_H_
