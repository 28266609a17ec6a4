#include "libteaselthread/timer_service.h"

namespace teaselthread {

void TimerService::Subscribe(Duration interval,
                             Timestamp now,
                             Callback callback) {
  due_.emplace(now + interval, Subscription{interval, std::move(callback)});
}

std::optional<Timestamp> TimerService::next_due() const {
  if (due_.empty())
    return std::nullopt;
  return due_.begin()->first;
}

void TimerService::Advance(Timestamp now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    auto node = due_.extract(due_.begin());
    Subscription& subscription = node.mapped();
    subscription.callback(now);
    node.key() = now + subscription.interval;
    due_.insert(std::move(node));
  }
}

}  // namespace teaselthread
