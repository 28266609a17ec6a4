#ifndef TEASELTHREAD_EMULATOR_VIRTUAL_CLOCK_H_
#define TEASELTHREAD_EMULATOR_VIRTUAL_CLOCK_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "libteaselthread/timestamp.h"

namespace teaselthread::emulator {

// Discrete-event clock: runs actions at their scheduled times without waiting.
// Actions scheduled for the same time run in the order of scheduling.
class VirtualClock {
 public:
  Timestamp now() const { return now_; }
  void Schedule(Duration delay, std::function<void()> action);
  // Runs all actions due by `end` and advances the clock to `end`.
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
