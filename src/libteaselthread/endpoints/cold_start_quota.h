#ifndef TEASELTHREAD_ENDPOINTS_COLD_START_QUOTA_H_
#define TEASELTHREAD_ENDPOINTS_COLD_START_QUOTA_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The rate at which all nodes together may send to one cold endpoint, in any
// period of one second.
struct ColdStartLimit {
  double requests_per_second = 0;

  friend auto operator<=>(const ColdStartLimit&,
                          const ColdStartLimit&) = default;
};

// This node's share of a cold endpoint's limit, in requests per second. Each
// node computes it without communicating with the others. The sum of all shares
// does not exceed the limit, even if the nodes' lists of live nodes differ by a
// few. If the limit is lower than the number of nodes, a few nodes chosen by
// rendezvous hashing get one request each.
//
// Load pattern: an endpoint, or all endpoints of an availability zone, return
// cold while every node has requests for them.
uint32_t ColdStartShare(const ColdStartLimit& limit,
                        const std::string& endpoint_id,
                        const std::string& self,
                        const std::vector<std::string>& nodes);

// Counts this node's requests to one cold endpoint during the last second.
class ColdStartQuota {
 public:
  bool Allows(uint32_t share, Timestamp now) const;
  void OnSend(Timestamp now);

 private:
  std::deque<Timestamp> sends_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_COLD_START_QUOTA_H_
