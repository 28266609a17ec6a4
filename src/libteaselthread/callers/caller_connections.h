#ifndef TEASELTHREAD_CALLERS_CALLER_CONNECTIONS_H_
#define TEASELTHREAD_CALLERS_CALLER_CONNECTIONS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "libteaselthread/callers/closing_reason.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Bounds the number of callers' connections, so that descriptors remain for
// endpoints, peers, the store and metrics. Above the bound, one connection is
// closed for each new one: first those whose request has been refused and that
// only discard input, then those that have never sent anything, then idle ones
// between two requests; of each kind, the one that has been in its state for
// the longest time. If there is none, the new connection is refused.
//
// Load pattern: a client opens connections until descriptors run out and sends
// nothing on them, while callers connect and send their requests at once.
class CallerConnections {
 public:
  using Id = uint64_t;

  // In the order in which connections are closed. kBusy ones never are.
  enum class State : uint8_t { kEnding, kSilent, kIdle, kBusy };

  struct Admission {
    bool admitted = false;
    Id id = 0;                // of the new connection
    std::optional<Id> close;  // the connection that makes room for it
    State closed_state = State::kBusy;
  };

  explicit CallerConnections(size_t limit) : limit_(limit) {}
  // The limit for a process that may have `descriptors` open. A request in
  // progress needs a descriptor for its endpoint besides its caller's.
  static size_t LimitFor(size_t descriptors);
  // The same for the connections to all addresses that take no requests for
  // services, such as the directory's.
  static size_t AdminLimitFor(size_t descriptors);
  // Why a connection that was in this state is closed for a new one.
  static ClosingReason ReasonFor(State state);

  // A connection was accepted. It starts as kSilent. The connection to close is
  // removed at once.
  Admission Admit(Timestamp now);
  void SetState(Id id, State state, Timestamp now);
  void Remove(Id id);

  size_t size() const { return states_.size(); }
  size_t limit() const { return limit_; }

 private:
  static constexpr size_t kClosableStates = 3;
  using Queue = std::set<std::pair<Timestamp, Id>>;
  struct Entry {
    State state;
    Timestamp since;
  };

  Queue* QueueOf(State state);

  size_t limit_;
  Id last_id_ = 0;
  std::map<Id, Entry> states_;
  // Closable connections, the longest in their state first.
  std::array<Queue, kClosableStates> queues_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_CALLER_CONNECTIONS_H_
