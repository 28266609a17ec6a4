#ifndef TEASELTHREAD_IO_TIMEOUT_H_
#define TEASELTHREAD_IO_TIMEOUT_H_

#include <memory>

#include "libteaselthread/timestamp.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Cancels the operations of a socket after a timeout. The socket stays open, so
// that a response can still be written to it. Cancels repeatedly until Disarm
// is called, since a composed operation has nothing pending between two reads.
class IoTimeout {
 public:
  explicit IoTimeout(tcp::socket& socket);
  ~IoTimeout() { ++state_->generation; }
  IoTimeout(const IoTimeout&) = delete;
  IoTimeout& operator=(const IoTimeout&) = delete;

  // Starts the timeout; it replaces one that was started before.
  void Arm(Duration timeout);
  void Disarm();
  bool expired() const { return state_->expired; }

 private:
  struct State {
    tcp::socket* socket;
    uint64_t generation = 0;
    bool expired = false;
  };

  void Wait(uint64_t generation);

  std::shared_ptr<State> state_;
  asio::steady_timer timer_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_IO_TIMEOUT_H_
