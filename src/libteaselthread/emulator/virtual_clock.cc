#include "libteaselthread/emulator/virtual_clock.h"

#include <tuple>
#include <utility>

namespace teaselthread::emulator {

bool VirtualClock::IsLater::operator()(const Event& a, const Event& b) const {
  return std::tie(a.at, a.order) > std::tie(b.at, b.order);
}

void VirtualClock::Schedule(Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, ++scheduled_, std::move(action)});
}

void VirtualClock::RunUntil(Timestamp end) {
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = end;
}

}  // namespace teaselthread::emulator
