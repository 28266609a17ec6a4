#ifndef TEASELTHREAD_IO_TIMEOUT_H_
#define TEASELTHREAD_IO_TIMEOUT_H_

#include <memory>

#include "libteaselthread/timestamp.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Cancels the operations of a socket when a time has passed. The socket stays
// open, so that an answer can still be written to it.
class IoTimeout {
 public:
  explicit IoTimeout(tcp::socket& socket);
  ~IoTimeout() { ++state_->generation; }
  IoTimeout(const IoTimeout&) = delete;
  IoTimeout& operator=(const IoTimeout&) = delete;

  // Starts anew; an earlier time no longer counts.
  void Arm(Duration timeout);
  void Disarm();
  bool expired() const { return state_->expired; }

 private:
  struct State {
    tcp::socket* socket;
    uint64_t generation = 0;
    bool expired = false;
  };

  std::shared_ptr<State> state_;
  asio::steady_timer timer_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_IO_TIMEOUT_H_
