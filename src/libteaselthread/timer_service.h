#ifndef TEASELTHREAD_TIMER_SERVICE_H_
#define TEASELTHREAD_TIMER_SERVICE_H_

#include <functional>
#include <map>
#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Calls its subscribers at fixed intervals of the time passed to Advance(),
// which is the system's clock in the daemon and virtual time in tests.
class TimerService {
 public:
  using Callback = std::function<void(Timestamp now)>;

  // The first call is due one `interval` after `now`. A late Advance() makes a
  // single call, not one per missed interval.
  void Subscribe(Duration interval, Timestamp now, Callback callback);

  std::optional<Timestamp> next_due() const;
  void Advance(Timestamp now);

 private:
  struct Subscription {
    Duration interval;
    Callback callback;
  };

  std::multimap<Timestamp, Subscription> due_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_TIMER_SERVICE_H_
