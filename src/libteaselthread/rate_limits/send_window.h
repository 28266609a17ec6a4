#ifndef TEASELTHREAD_RATE_LIMITS_SEND_WINDOW_H_
#define TEASELTHREAD_RATE_LIMITS_SEND_WINDOW_H_

#include <deque>

#include "libteaselthread/rate_limits/rate_limit_share.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// This node's recent requests to an endpoint with a rate limit. The node never
// sends more than its share in any window, nor faster than at twice its even
// pace, so that the shares of all nodes do not arrive at once.
class SendWindow {
 public:
  void OnSend(Timestamp now, Duration window);
  // When the node may send the next request; not after `now` if it may now.
  // `requests` is the node's share of `window`, at least 1.
  Timestamp NextSendAt(uint32_t requests, Duration window) const;
  // When the latest request was sent; Timestamp{} if none was.
  Timestamp last_sent_at() const;

 private:
  std::deque<Timestamp> sends_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_RATE_LIMITS_SEND_WINDOW_H_
