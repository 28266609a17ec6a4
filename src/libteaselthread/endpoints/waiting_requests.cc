#include "libteaselthread/endpoints/waiting_requests.h"

#include <algorithm>

namespace teaselthread {
namespace {

// A refused caller needs the rest of its time for a retry.
constexpr int kMaxWaitDivisor = 2;

}  // namespace

WaitingRequests::Place WaitingRequests::Enter(int priority) {
  const Place place{priority, next_number_++};
  waiting_.insert(place);
  return place;
}

bool WaitingRequests::HasAheadOf(int priority) const {
  return !waiting_.empty() && waiting_.begin()->priority <= priority;
}

Duration WaitingRequests::MaxWait(Duration objective, Duration time_left) {
  return std::max(Duration::zero(),
                  std::min(objective, time_left) / kMaxWaitDivisor);
}

}  // namespace teaselthread
