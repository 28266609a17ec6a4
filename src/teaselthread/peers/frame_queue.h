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

// Receives the frames of one forwarded call as it runs.
class FrameSink {
 public:
  virtual ~FrameSink() = default;
  virtual void Write(wire::ForwardFrame frame) = 0;
  virtual void Close() = 0;
  // Whether the receiver has stopped waiting for the response.
  virtual bool cancelled() const = 0;
};

// A queue of the frames of one forwarded call, between the code that runs the
// call and the code that relays its response. Must be used from the node's
// single thread only.
class FrameQueue : public FrameSink {
 public:
  enum class Event { kFrame, kClosed, kTimedOut };

  explicit FrameQueue(asio::any_io_executor executor);

  void Write(wire::ForwardFrame frame) override;
  void Close() override;
  bool cancelled() const override { return cancelled_; }

  // Asks the other side to stop the call.
  void Cancel();
  void set_on_cancel(std::function<void()> on_cancel) {
    on_cancel_ = std::move(on_cancel);
  }

  // Waits for the next frame and moves it to `frame`.
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
