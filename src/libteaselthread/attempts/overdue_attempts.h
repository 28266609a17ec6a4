#ifndef TEASELTHREAD_ATTEMPTS_OVERDUE_ATTEMPTS_H_
#define TEASELTHREAD_ATTEMPTS_OVERDUE_ATTEMPTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libteaselthread/endpoints/endpoint_table.h"

namespace teaselthread {

// The endpoints at which attempts of this node run that have taken longer than
// usual, and the endpoints that are in doubt for that reason or another one.
//
// Load pattern: an endpoint, or all endpoints of an availability zone, respond
// late. A second attempt there would be late too.
class OverdueAttempts {
 public:
  // An attempt at `endpoint` has become overdue. Each call is to be followed by
  // one of Remove when the attempt ends.
  void Add(const std::string& endpoint) { ++overdue_[endpoint]; }
  void Remove(const std::string& endpoint);

  // Those of a service's `endpoints` that must not get a second attempt: they
  // have overdue attempts, fail, are ejected or cold, or share a failure domain
  // of which at least two endpoints, and half of all, are in doubt.
  std::set<std::string> EndpointsInDoubt(
      const std::vector<EndpointPtr>& endpoints,
      Timestamp now) const;

 private:
  bool IsInDoubt(const EndpointState& endpoint, Timestamp now) const;

  std::map<std::string, uint32_t> overdue_;  // by endpoint
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_OVERDUE_ATTEMPTS_H_
