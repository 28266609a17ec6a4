#ifndef TEASELTHREAD_EMULATOR_VIRTUAL_CLOCK_H_
#define TEASELTHREAD_EMULATOR_VIRTUAL_CLOCK_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "libteaselthread/timestamp.h"

namespace teaselthread::emulator {

// Runs actions at their times without waiting for them. Actions of one time
// run in the order in which they were scheduled.
class VirtualClock {
 public:
  Timestamp now() const { return now_; }
  void Schedule(Duration delay, std::function<void()> action);
  // Runs all that is due by `end`, and stops there.
  void RunUntil(Timestamp end);

 private:
  struct Event {
    Timestamp at{};
    uint64_t order = 0;
    std::function<void()> action;
  };
  struct IsLater {
    bool operator()(const Event& a, const Event& b) const;
  };

  Timestamp now_{};
  uint64_t scheduled_ = 0;
  std::priority_queue<Event, std::vector<Event>, IsLater> events_;
};

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_VIRTUAL_CLOCK_H_
