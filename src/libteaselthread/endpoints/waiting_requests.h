#ifndef TEASELTHREAD_ENDPOINTS_WAITING_REQUESTS_H_
#define TEASELTHREAD_ENDPOINTS_WAITING_REQUESTS_H_

#include <compare>
#include <cstdint>
#include <set>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The requests of one service that wait because each endpoint that they could
// be sent to is at its load bound. The most urgent one goes first, then the one
// that came first.
//
// Load pattern: most engines of a service are drained or evacuated at the same
// time, so that the others get all of its requests.
class WaitingRequests {
 public:
  // A request's place in the queue.
  struct Place {
    int priority = 0;  // 0 is the most urgent
    uint64_t number = 0;

    friend auto operator<=>(const Place&, const Place&) = default;
  };

  Place Enter(int priority);
  void Leave(const Place& place) { waiting_.erase(place); }
  bool IsFirst(const Place& place) const {
    return !waiting_.empty() && *waiting_.begin() == place;
  }
  // Whether a new request has to wait behind others.
  bool HasAheadOf(int priority) const;
  size_t size() const { return waiting_.size(); }

  // For how long a request may wait, which leaves an endpoint the rest of the
  // time until the objective. `time_left` is the time until its deadline, and
  // `slowness` the multiple of the usual time that work takes at an endpoint.
  static Duration MaxWait(Duration objective,
                          Duration time_left,
                          double slowness = 1);

 private:
  std::set<Place> waiting_;
  uint64_t next_number_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_WAITING_REQUESTS_H_
