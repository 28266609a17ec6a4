#ifndef TEASELTHREAD_RATE_LIMITS_RETURN_SCHEDULE_H_
#define TEASELTHREAD_RATE_LIMITS_RETURN_SCHEDULE_H_

#include <cstddef>

#include "libteaselthread/rate_limits/rate_limit_table.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// When callers that were refused for want of room under rate limits are to come
// back, and how long a request would have to wait for room: one after the
// other, at the pace at which there will be room.
//
// Load pattern: all endpoints of a service name a limit that is far below the
// demand, and the refused callers come back.
class ReturnSchedule {
 public:
  // Until there is room for a request that has `ahead` others before it. Empty
  // if this node has no share.
  static std::optional<Duration> ExpectedWait(const RateLimitRoom& room,
                                              size_t ahead);
  // Until a caller that is refused at `now` is to come back, while `waiting`
  // requests wait at this node. A node without a share sends it to another one
  // soon. At most kMaxReturnTime; kOtherNodeTime if there is no limit any more.
  Duration Next(const RateLimitRoom& room, size_t waiting, Timestamp now);

  static constexpr Duration kMaxReturnTime = std::chrono::seconds(8);
  static constexpr Duration kOtherNodeTime = std::chrono::milliseconds(50);

 private:
  Timestamp last_return_at_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_RATE_LIMITS_RETURN_SCHEDULE_H_
