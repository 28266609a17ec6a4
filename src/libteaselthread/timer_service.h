#ifndef TEASELTHREAD_TIMER_SERVICE_H_
#define TEASELTHREAD_TIMER_SERVICE_H_

#include <functional>
#include <map>
#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Calls its subscribers at fixed intervals of the time that Advance is given.
// The daemon advances it by the machine's clock, tests by virtual time.
class TimerService {
 public:
  using Callback = std::function<void(Timestamp now)>;

  // First call one `interval` after `now`. A late Advance makes one call, not
  // one for each interval missed.
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
