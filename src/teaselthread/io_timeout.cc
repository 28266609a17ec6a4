#include "teaselthread/io_timeout.h"

namespace teaselthread {
namespace {

constexpr auto kCancelInterval = std::chrono::milliseconds(10);

}  // namespace

IoTimeout::IoTimeout(tcp::socket& socket)
    : state_(std::make_shared<State>(State{&socket})),
      timer_(socket.get_executor()) {}

void IoTimeout::Arm(Duration timeout) {
  const uint64_t generation = ++state_->generation;
  state_->expired = false;
  timer_.expires_after(timeout);
  Wait(generation);
}

void IoTimeout::Wait(uint64_t generation) {
  // This object exists as long as the generation is the same.
  timer_.async_wait([this, state = state_,
                     generation](const boost::system::error_code& failure) {
    if (failure || state->generation != generation)
      return;
    state->expired = true;
    boost::system::error_code ignored;
    state->socket->cancel(ignored);
    timer_.expires_after(kCancelInterval);
    Wait(generation);
  });
}

void IoTimeout::Disarm() {
  ++state_->generation;
  timer_.cancel();
}

}  // namespace teaselthread
