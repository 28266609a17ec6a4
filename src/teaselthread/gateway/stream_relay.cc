#include "teaselthread/gateway/stream_relay.h"

namespace teaselthread {

void StreamRelay::OnHead(ResponseHead head) {
  events_.Restart();
  events_before_attempt_ = events_.event_count();
  first_comments_.clear();
  if (!writer_->begun())
    head_ = std::move(head);
}

asio::awaitable<bool> StreamRelay::OnBytes(std::string_view bytes) {
  const uint32_t events_before = events_.event_count();
  std::string complete_events = events_.Feed(bytes);
  const bool is_first = events_before == events_before_attempt_ &&
                        events_.event_count() > events_before;
  if (is_first && on_first_event_)
    on_first_event_();
  if (complete_events.empty())
    co_return true;
  if (writer_->begun())
    co_return co_await writer_->WriteEvents(std::move(complete_events));
  first_comments_.append(complete_events);
  if (events_.event_count() == 0)
    co_return true;
  first_event_at_ = std::chrono::steady_clock::now();
  ResponseHead head = *std::move(head_);
  co_return co_await writer_->BeginStream(std::move(head),
                                          std::move(first_comments_));
}

asio::awaitable<bool> StreamRelay::OnEnd() {
  if (!writer_->begun()) {
    ResponseHead head = *std::move(head_);
    if (!co_await writer_->BeginStream(std::move(head),
                                       std::move(first_comments_)))
      co_return false;
  }
  co_return co_await writer_->EndStream();
}

std::optional<Timestamp> StreamRelay::FirstEventAfter(Timestamp time) const {
  if (!first_event_at_)
    return std::nullopt;
  const Timestamp at(std::chrono::duration_cast<Duration>(
      first_event_at_->time_since_epoch()));
  return at > time ? std::optional(at) : std::nullopt;
}

}  // namespace teaselthread
