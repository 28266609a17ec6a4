#ifndef TEASELTHREAD_ROLLOUTS_ROUTE_TIMES_H_
#define TEASELTHREAD_ROLLOUTS_ROUTE_TIMES_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Running means of the response times of each service and route. They are kept
// also while there is no order, so that the first responses of a new version
// can be compared.
//
// Load pattern: routes whose usual times differ by orders of magnitude.
class RouteTimes {
 public:
  void OnResponse(const std::string& service, uint32_t route, Duration time);
  // Whether the usual time of the route is known.
  bool IsKnown(const std::string& service, uint32_t route) const;
  // Whether the time is several times the usual one, which must be known.
  bool IsSlow(const std::string& service, uint32_t route, Duration time) const;

 private:
  struct Mean {
    uint32_t responses = 0;
    double microseconds = 0;
  };
  using Key = std::pair<std::string, uint32_t>;  // service, route

  std::map<Key, Mean> means_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROLLOUTS_ROUTE_TIMES_H_
