#ifndef TEASELTHREAD_RATE_LIMITS_RATE_LIMIT_SHARE_H_
#define TEASELTHREAD_RATE_LIMITS_RATE_LIMIT_SHARE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// A rate as a whole number of requests, at least one, in any period of
// `window`.
struct RateAllowance {
  uint32_t requests = 1;
  Duration window{};

  // `rate`: requests per second, above 0.
  static RateAllowance For(double rate);

  friend auto operator<=>(const RateAllowance&, const RateAllowance&) = default;
};

// One node's part of an allowance that all nodes share.
struct RateLimitShare {
  // Requests that the node may send in any period of the allowance's window.
  uint32_t requests = 0;
  // The node's position in the order in which nodes get requests that cannot be
  // divided evenly, and the number of nodes.
  uint32_t rank = 0;
  uint32_t nodes = 1;

  // Each node computes its share without communicating with the others. If all
  // know the same nodes, the shares add up to the allowance. What cannot be
  // divided evenly goes to the nodes that rank first by rendezvous hashing with
  // the endpoint, so that different endpoints favour different nodes. `nodes`
  // need not contain `self`.
  static RateLimitShare For(const RateAllowance& allowance,
                            const std::string& endpoint_id,
                            const std::string& self,
                            const std::vector<std::string>& nodes);

  friend auto operator<=>(const RateLimitShare&,
                          const RateLimitShare&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_RATE_LIMITS_RATE_LIMIT_SHARE_H_
