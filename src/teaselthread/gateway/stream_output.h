#ifndef TEASELTHREAD_GATEWAY_STREAM_OUTPUT_H_
#define TEASELTHREAD_GATEWAY_STREAM_OUTPUT_H_

#include <memory>
#include <string>

#include "teaselthread/asio.h"
#include "teaselthread/gateway/buffer_quota.h"

namespace teaselthread {

// Sends a stream to a caller in the background, so that a caller that reads
// slowly does not keep the gateway from reading what the endpoint sends.
// Endpoints cut off responses that are not read for some seconds.
//
// Up to `read_ahead_bytes` wait to be sent; beyond, the writer of the stream is
// paused. Waiting bytes count against the memory for bodies. If there is none,
// the writer is paused until all is sent, and if others need the memory of a
// caller that does not read, its connection is reset.
class StreamOutput : public std::enable_shared_from_this<StreamOutput> {
 public:
  struct Options {
    BufferQuota* buffers = nullptr;
    std::string caller;
    size_t read_ahead_bytes = 0;
    // Called when the connection was reset, since memory was short.
    std::function<void()> on_reclaimed = [] {};
  };

  StreamOutput(tcp::socket* socket, Options options);

  // Takes text to send. Returns after a pause if too much waits to be sent, and
  // false once sending has failed.
  asio::awaitable<bool> Write(std::string text);
  // Waits until everything is sent. Returns false if sending has failed.
  asio::awaitable<bool> Drain();
  bool has_failed() const { return has_failed_; }
  // Called before the socket is destroyed.
  void Detach() { socket_ = nullptr; }

 private:
  size_t unsent() const { return pending_.size() + sending_.size() - sent_; }
  asio::awaitable<void> AwaitUnsent(size_t most);
  // Starts to send what is pending unless sending is in progress.
  void Send();
  void OnSent(const boost::system::error_code& failure, size_t count);
  void Fail();
  void Reclaim();

  tcp::socket* socket_;
  Options options_;
  BufferQuota::Reservation memory_;
  asio::steady_timer changed_;  // cancelled to wake the writer
  std::string pending_;
  std::string sending_;
  size_t sent_ = 0;  // bytes of sending_
  bool is_sending_ = false;
  bool has_failed_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_STREAM_OUTPUT_H_
