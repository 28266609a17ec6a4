#include "libteaselthread/endpoints/waiting_requests.h"

#include <algorithm>

namespace teaselthread {
namespace {

// At an endpoint with the usual speed, the time there is as long as the wait. A
// refused caller needs it for a retry.
constexpr double kWorkShare = 1;

}  // namespace

WaitingRequests::Place WaitingRequests::Enter(int priority,
                                              const std::string& customer) {
  Turns& turns = turns_[priority];
  const auto [latest, is_first] =
      turns.latest.try_emplace(customer, turns.round);
  if (!is_first)
    latest->second = std::max(turns.round, latest->second + 1);
  ++turns.waiting;
  const Place place{priority, latest->second, next_number_++};
  waiting_.insert(place);
  return place;
}

void WaitingRequests::Leave(const Place& place, bool found_room) {
  if (found_room) {
    const bool overtakes = Oldest().priority > place.priority;
    overtakes_ = overtakes ? overtakes_ + 1 : 0;
  }
  waiting_.erase(place);
  const auto turns = turns_.find(place.priority);
  if (found_room)
    turns->second.round = std::max(turns->second.round, place.round);
  if (--turns->second.waiting == 0)
    turns_.erase(turns);
}

bool WaitingRequests::IsFirst(const Place& place) const {
  if (waiting_.empty())
    return false;
  return place == (overtakes_ < kMaxOvertakes ? *waiting_.begin() : Oldest());
}

size_t WaitingRequests::AheadOf(const Place& place) const {
  return static_cast<size_t>(
      std::distance(waiting_.begin(), waiting_.lower_bound(place)));
}

const WaitingRequests::Place& WaitingRequests::Oldest() const {
  return *std::min_element(
      waiting_.begin(), waiting_.end(),
      [](const Place& a, const Place& b) { return a.number < b.number; });
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
