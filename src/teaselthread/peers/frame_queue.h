#ifndef TEASELTHREAD_PEERS_FRAME_QUEUE_H_
#define TEASELTHREAD_PEERS_FRAME_QUEUE_H_

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "node.pb.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Receives the frames of one forwarded call from the code that runs it.
class FrameSink {
 public:
  virtual ~FrameSink() = default;
  virtual void Write(wire::ForwardFrame frame) = 0;
  virtual void Close() = 0;
  // Nobody waits for the answer any more.
  virtual bool cancelled() const = 0;
};

// The frames of one forwarded call on their way to the code that relays them.
// Used from the node's one thread only.
class FrameQueue : public FrameSink {
 public:
  enum class Event { kFrame, kClosed, kTimedOut };

  explicit FrameQueue(asio::any_io_executor executor);

  void Write(wire::ForwardFrame frame) override;
  void Close() override;
  bool cancelled() const override { return cancelled_; }

  // Tells the other side to stop.
  void Cancel();
  void set_on_cancel(std::function<void()> on_cancel) {
    on_cancel_ = std::move(on_cancel);
  }

  // Waits for the next frame, which is then in `frame`.
  asio::awaitable<Event> Next(std::chrono::steady_clock::time_point until,
                              wire::ForwardFrame* frame);

 private:
  asio::steady_timer signal_;
  std::deque<wire::ForwardFrame> frames_;
  std::function<void()> on_cancel_;
  bool closed_ = false;
  bool cancelled_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_FRAME_QUEUE_H_
