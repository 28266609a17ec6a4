#ifndef TEASELTHREAD_GATEWAY_STREAM_RELAY_H_
#define TEASELTHREAD_GATEWAY_STREAM_RELAY_H_

#include <optional>
#include <string_view>

#include "libteaselthread/attempts/event_splitter.h"
#include "libteaselthread/timestamp.h"
#include "teaselthread/gateway/response_writer.h"

namespace teaselthread {

// Relays one event stream to a caller. If an endpoint fails, the next one can
// continue the stream. The caller receives only complete events, and the
// response head of the first endpoint that sent one. Comments are relayed as
// they arrive, but not before the first event, since a response that has begun
// can be moved to another endpoint only after an event.
class StreamRelay {
 public:
  explicit StreamRelay(ResponseWriter* writer) : writer_(writer) {}

  // Sets a callback for the first event of each attempt.
  void set_on_first_event(std::function<void()> on_first_event) {
    on_first_event_ = std::move(on_first_event);
  }

  // Called when the response of a new attempt begins.
  void OnHead(ResponseHead head);
  // Both return false once writing to the caller has failed.
  asio::awaitable<bool> OnBytes(std::string_view bytes);
  asio::awaitable<bool> OnEnd();

  bool begun() const { return writer_->begun(); }
  const EventSplitter& events() const { return events_; }
  // Whether the newest attempt has sent an event that the caller did not have.
  bool has_event_from_attempt() const {
    return events_.event_count() > events_before_attempt_;
  }
  // When the first event was relayed.
  const std::optional<std::chrono::steady_clock::time_point>& first_event_at()
      const {
    return first_event_at_;
  }
  // The same, if that was after `time`.
  std::optional<Timestamp> FirstEventAfter(Timestamp time) const;

 private:
  ResponseWriter* writer_;
  EventSplitter events_;
  std::function<void()> on_first_event_;
  uint32_t events_before_attempt_ = 0;
  std::optional<ResponseHead> head_;  // until it has been written
  std::string first_comments_;        // until the first event is written
  std::optional<std::chrono::steady_clock::time_point> first_event_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_STREAM_RELAY_H_
