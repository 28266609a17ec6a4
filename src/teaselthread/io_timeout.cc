#include "teaselthread/io_timeout.h"

namespace teaselthread {

IoTimeout::IoTimeout(tcp::socket& socket)
    : state_(std::make_shared<State>(State{&socket})),
      timer_(socket.get_executor()) {}

void IoTimeout::Arm(Duration timeout) {
  const uint64_t generation = ++state_->generation;
  state_->expired = false;
  timer_.expires_after(timeout);
  timer_.async_wait(
      [state = state_, generation](const boost::system::error_code& failure) {
        if (failure || state->generation != generation)
          return;
        state->expired = true;
        boost::system::error_code ignored;
        state->socket->cancel(ignored);
      });
}

void IoTimeout::Disarm() {
  ++state_->generation;
  timer_.cancel();
}

}  // namespace teaselthread
