#ifndef TEASELTHREAD_REQUESTS_CUSTOMER_LIMITER_H_
#define TEASELTHREAD_REQUESTS_CUSTOMER_LIMITER_H_

#include <map>
#include <optional>
#include <string>

#include "libteaselthread/configuration.h"
#include "libteaselthread/requests/outcome.h"

namespace teaselthread {

// Holds each customer to this node's part of its fleet-wide limits: a token
// bucket of one second for the rate, and a count of running requests.
class CustomerLimiter {
 public:
  // Nothing if the request may start; it then counts until End.
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
