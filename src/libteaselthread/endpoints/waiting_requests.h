#ifndef TEASELTHREAD_ENDPOINTS_WAITING_REQUESTS_H_
#define TEASELTHREAD_ENDPOINTS_WAITING_REQUESTS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The requests of one service that wait because each endpoint that they could
// be sent to is at its load bound or rate limit. The most urgent one goes
// first; of those, customers take turns, and of one customer's the one that
// came first. If kMaxOvertakes in a row have gone before a less urgent one that
// came earlier, that one goes next.
//
// Load pattern: most engines of a service are drained or evacuated at the same
// time, so that the others get all of its requests; or all of them name a rate
// limit below the demand while one customer sends most of the requests.
class WaitingRequests {
 public:
  // A request's place in the queue.
  struct Place {
    int priority = 0;    // 0 is the most urgent
    uint64_t round = 0;  // of the customers' turns
    uint64_t number = 0;

    friend auto operator<=>(const Place&, const Place&) = default;
  };

  Place Enter(int priority, const std::string& customer = {});
  // `found_room`: the request is sent, instead of being refused.
  void Leave(const Place& place, bool found_room = true);
  bool IsFirst(const Place& place) const;
  // Number of requests that go before this one.
  size_t AheadOf(const Place& place) const;
  // Whether a new request has to wait behind others.
  bool HasAheadOf(int priority) const;
  size_t size() const { return waiting_.size(); }

  // For how long a request may wait, which leaves an endpoint the rest of the
  // time until the objective. `time_left` is the time until its deadline, and
  // `slowness` the multiple of the usual time that work takes at an endpoint.
  static Duration MaxWait(Duration objective,
                          Duration time_left,
                          double slowness = 1);

  static constexpr uint32_t kMaxOvertakes = 8;

 private:
  // The turns of the customers that have requests of one priority.
  struct Turns {
    uint64_t round = 0;  // of the latest one that was sent
    std::map<std::string, uint64_t> latest{};  // by customer
    size_t waiting = 0;
  };

  // The request that came first. There must be one.
  const Place& Oldest() const;

  std::set<Place> waiting_;
  std::map<int, Turns> turns_;  // by priority
  uint64_t next_number_ = 0;
  // Requests that have been sent in a row although a less urgent one had come
  // earlier.
  uint32_t overtakes_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_WAITING_REQUESTS_H_
