#ifndef TEASELTHREAD_REQUESTS_LEAVING_SCHEDULE_H_
#define TEASELTHREAD_REQUESTS_LEAVING_SCHEDULE_H_

#include <compare>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The times of a graceful shutdown, and which requests a node still serves in
// it.
//
// Load pattern: rolling restarts, while callers go on to use the connections
// that they have open to the node.
class LeavingSchedule {
 public:
  // The node was told at `now` to leave, and is killed after `grace`.
  static LeavingSchedule Begin(Timestamp now, Duration grace);

  // Until then the node accepts connections and serves all requests, for
  // callers that got its address just before it began to leave.
  Timestamp accepts_until() const { return accepts_until_; }
  // The process exits by then, whatever is in progress.
  Timestamp exits_at() const { return exits_at_; }

  bool AcceptsConnections(Timestamp now) const { return now < accepts_until_; }
  // Whether a request that has been read at `now` is served. Once the node has
  // stopped accepting, it has to end before the process exits.
  bool Serves(Timestamp now, Timestamp deadline) const {
    return AcceptsConnections(now) || deadline <= exits_at_;
  }

  friend auto operator<=>(const LeavingSchedule&,
                          const LeavingSchedule&) = default;

 private:
  LeavingSchedule(Timestamp accepts_until, Timestamp exits_at)
      : accepts_until_(accepts_until), exits_at_(exits_at) {}

  Timestamp accepts_until_;
  Timestamp exits_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_LEAVING_SCHEDULE_H_
