#ifndef TEASELTHREAD_GATEWAY_STREAM_RELAY_H_
#define TEASELTHREAD_GATEWAY_STREAM_RELAY_H_

#include <optional>
#include <string_view>

#include "libteaselthread/attempts/event_splitter.h"
#include "teaselthread/gateway/caller_link.h"

namespace teaselthread {

// Relays one event stream to a caller, from one endpoint after the other. The
// caller sees whole events only, and the head of the first endpoint of which
// it got an event.
class StreamRelay {
 public:
  explicit StreamRelay(CallerLink* link) : link_(link) {}

  // A new attempt's answer begins.
  void OnHead(AnswerHead head);
  // Both return false once the caller cannot be written to.
  asio::awaitable<bool> OnBytes(std::string_view bytes);
  asio::awaitable<bool> OnEnd();

  bool begun() const { return link_->begun(); }
  const EventSplitter& events() const { return events_; }
  // When the first event was passed on.
  const std::optional<std::chrono::steady_clock::time_point>& first_event_at()
      const {
    return first_event_at_;
  }

 private:
  CallerLink* link_;
  EventSplitter events_;
  std::optional<AnswerHead> head_;  // until it has been written
  std::optional<std::chrono::steady_clock::time_point> first_event_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_STREAM_RELAY_H_
