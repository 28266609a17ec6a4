#include "teaselthread/peers/frame_queue.h"

namespace teaselthread {

FrameQueue::FrameQueue(asio::any_io_executor executor) : signal_(executor) {}

void FrameQueue::Write(wire::ForwardFrame frame) {
  frames_.push_back(std::move(frame));
  signal_.cancel();
}

void FrameQueue::Close() {
  closed_ = true;
  signal_.cancel();
}

void FrameQueue::Cancel() {
  cancelled_ = true;
  if (on_cancel_)
    on_cancel_();
}

asio::awaitable<FrameQueue::Event> FrameQueue::Next(
    std::chrono::steady_clock::time_point until,
    wire::ForwardFrame* frame) {
  if (frames_.empty() && !closed_) {
    signal_.expires_at(until);
    co_await signal_.async_wait(kAsTuple);
  }
  if (!frames_.empty()) {
    *frame = std::move(frames_.front());
    frames_.pop_front();
    co_return Event::kFrame;
  }
  co_return closed_ ? Event::kClosed : Event::kTimedOut;
}

}  // namespace teaselthread
