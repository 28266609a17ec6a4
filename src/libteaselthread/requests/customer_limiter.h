#ifndef TEASELTHREAD_REQUESTS_CUSTOMER_LIMITER_H_
#define TEASELTHREAD_REQUESTS_CUSTOMER_LIMITER_H_

#include <map>
#include <optional>
#include <string>

#include "libteaselthread/configuration.h"
#include "libteaselthread/requests/outcome.h"

namespace teaselthread {

// Enforces this node's share of each customer's fleet-wide limits: a token
// bucket that holds one second's worth of requests for the rate, and a count of
// running requests for the concurrency.
class CustomerLimiter {
 public:
  // Returns nothing if the request may start. The request then counts as
  // running until End is called.
  std::optional<RefusedNotRun> TryBegin(const std::string& customer,
                                        const CustomerLimits& fleet_limits,
                                        size_t node_count,
                                        Timestamp now);
  void End(const std::string& customer);
  size_t customer_count() const { return customers_.size(); }

 private:
  struct State {
    double tokens = 0;
    Timestamp filled_at{};
    int running = 0;
  };

  void DropIdle(Timestamp now);

  std::map<std::string, State> customers_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_CUSTOMER_LIMITER_H_
