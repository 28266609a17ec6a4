#include "teaselthread/gateway/stream_output.h"

#include <utility>

namespace teaselthread {

StreamOutput::StreamOutput(tcp::socket* socket, Options options)
    : socket_(socket),
      options_(std::move(options)),
      memory_(options_.buffers, options_.caller, [this] { Reclaim(); }),
      changed_(socket->get_executor()) {}

asio::awaitable<bool> StreamOutput::Write(std::string text) {
  if (has_failed_)
    co_return false;
  const bool granted = memory_.GrowTo(unsent() + text.size());
  pending_ += text;
  text = {};
  Send();
  if (!granted)
    co_await AwaitUnsent(0);
  else if (unsent() > options_.read_ahead_bytes)
    co_await AwaitUnsent(options_.read_ahead_bytes / 2);
  co_return !has_failed_;
}

asio::awaitable<bool> StreamOutput::Drain() {
  co_await AwaitUnsent(0);
  co_return !has_failed_;
}

asio::awaitable<void> StreamOutput::AwaitUnsent(size_t most) {
  const auto self = shared_from_this();
  while (!has_failed_ && unsent() > most) {
    changed_.expires_at(asio::steady_timer::time_point::max());
    co_await changed_.async_wait(kAsTuple);
  }
}

void StreamOutput::Send() {
  if (is_sending_ || has_failed_ || !socket_)
    return;
  if (sent_ == sending_.size()) {
    sending_ = std::exchange(pending_, {});
    sent_ = 0;
  }
  if (sending_.empty())
    return;
  is_sending_ = true;
  socket_->async_write_some(
      asio::buffer(sending_.data() + sent_, sending_.size() - sent_),
      [self = shared_from_this()](const boost::system::error_code& failure,
                                  size_t count) {
        self->OnSent(failure, count);
      });
}

void StreamOutput::OnSent(const boost::system::error_code& failure,
                          size_t count) {
  is_sending_ = false;
  if (has_failed_) {
    sending_ = {};
    return;
  }
  sent_ += count;
  memory_.OnProgress(count);
  memory_.ShrinkTo(unsent());
  if (failure) {
    Fail();
    return;
  }
  Send();
  changed_.cancel();
}

void StreamOutput::Fail() {
  has_failed_ = true;
  pending_ = {};
  // What is being sent has to stay until the operation has ended.
  if (!is_sending_)
    sending_ = {};
  memory_.ShrinkTo(0);
  changed_.cancel();
}

void StreamOutput::Reclaim() {
  Fail();
  if (!socket_)
    return;
  options_.on_reclaimed();
  boost::system::error_code ignored;
  socket_->set_option(asio::socket_base::linger(true, 0), ignored);
  socket_->close(ignored);
}

}  // namespace teaselthread
