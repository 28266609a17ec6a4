#include "libteaselthread/endpoints/waiting_requests.h"

#include <algorithm>

namespace teaselthread {
namespace {

// At an endpoint with the usual speed, the time there is as long as the wait. A
// refused caller needs it for a retry.
constexpr double kWorkShare = 1;

}  // namespace

WaitingRequests::Place WaitingRequests::Enter(int priority) {
  const Place place{priority, next_number_++};
  waiting_.insert(place);
  return place;
}

bool WaitingRequests::HasAheadOf(int priority) const {
  return !waiting_.empty() && waiting_.begin()->priority <= priority;
}

Duration WaitingRequests::MaxWait(Duration objective,
                                  Duration time_left,
                                  double slowness) {
  const auto time = static_cast<double>(std::min(objective, time_left).count());
  const double divisor = 1 + kWorkShare * std::max(1.0, slowness);
  return std::max(Duration::zero(),
                  Duration(static_cast<Duration::rep>(time / divisor)));
}

}  // namespace teaselthread
