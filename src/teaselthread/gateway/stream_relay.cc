#include "teaselthread/gateway/stream_relay.h"

namespace teaselthread {

void StreamRelay::OnHead(AnswerHead head) {
  events_.Restart();
  if (!link_->begun())
    head_ = std::move(head);
}

asio::awaitable<bool> StreamRelay::OnBytes(std::string_view bytes) {
  std::string whole = events_.Feed(bytes);
  if (whole.empty())
    co_return true;
  if (link_->begun())
    co_return co_await link_->WriteEvents(std::move(whole));
  first_event_at_ = std::chrono::steady_clock::now();
  AnswerHead head = *std::move(head_);
  co_return co_await link_->BeginStream(std::move(head), std::move(whole));
}

asio::awaitable<bool> StreamRelay::OnEnd() {
  if (!link_->begun()) {
    AnswerHead head = *std::move(head_);
    std::string no_events;
    if (!co_await link_->BeginStream(std::move(head), std::move(no_events)))
      co_return false;
  }
  co_return co_await link_->EndStream();
}

}  // namespace teaselthread
