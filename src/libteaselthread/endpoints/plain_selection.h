#ifndef TEASELTHREAD_ENDPOINTS_PLAIN_SELECTION_H_
#define TEASELTHREAD_ENDPOINTS_PLAIN_SELECTION_H_

#include <string>
#include <vector>

#include "libteaselthread/endpoints/endpoint_table.h"

namespace teaselthread {

// What the choice among the endpoints of a plain service depends on.
struct PlainQuery {
  std::string zone;      // the node's own
  Duration work_time{};  // that a request usually takes, without waiting
  uint64_t seed = 0;     // random; differs between requests and nodes
};

// The multiple of the usual work time after which one more request at the
// endpoint has its response: the rounds of its slots until then, times its
// slowness.
double ExpectedWorkMultiple(const EndpointState& endpoint, Timestamp now);

// Whether any endpoint has reported its speed recently.
bool AnySpeedKnown(const std::vector<EndpointPtr>& endpoints, Timestamp now);

// The endpoint where the response is expected first, among two random ones of
// the node's own zone and two of other zones, for which the way there and back
// is added. Two of each, because counts are some tenths of a second old: nodes
// that all chose the best of all endpoints would overload it by the next count.
// `usable` must not be empty.
//
// Load pattern: short calls to a few endpoints that share their VMs with
// others, some of which are several times slower at times.
EndpointPtr SelectBySpeed(const std::vector<EndpointPtr>& usable,
                          const PlainQuery& query,
                          Timestamp now);

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_PLAIN_SELECTION_H_
