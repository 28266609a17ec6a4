#ifndef TEASELTHREAD_RATE_LIMITS_RATE_LIMIT_UPDATE_H_
#define TEASELTHREAD_RATE_LIMITS_RATE_LIMIT_UPDATE_H_

#include <compare>
#include <cstdint>
#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// What one node tells another of the rate limit of an endpoint.
struct RateLimitUpdate {
  uint32_t endpoint = 0;  // ShortHash of its id
  uint32_t start = 0;     // StartKey of its incarnation
  // Requests per second from all nodes together. Empty: no longer limited.
  std::optional<double> rate{};
  Duration age{};  // time since the endpoint said so

  friend auto operator<=>(const RateLimitUpdate&,
                          const RateLimitUpdate&) = default;
};

// Identifies an incarnation of an endpoint among those with the same id.
constexpr uint32_t StartKey(uint64_t started_at_ms) {
  return static_cast<uint32_t>(started_at_ms);
}

}  // namespace teaselthread

#endif  // TEASELTHREAD_RATE_LIMITS_RATE_LIMIT_UPDATE_H_
