#ifndef TEASELTHREAD_ATTEMPTS_EVENT_SPLITTER_H_
#define TEASELTHREAD_ATTEMPTS_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselthread {

// Splits a server-sent event stream into complete events and tracks their ids,
// so that a stream that breaks inside an event can be resumed at another
// endpoint. Comments are returned like events but are not counted as such,
// since an endpoint may send them as keep-alives without making any progress.
//
// Load pattern: a faulty endpoint sends bytes without end that complete no new
// event.
class EventSplitter {
 public:
  // Limit on the bytes that an endpoint sends without completing a new event.
  static constexpr size_t kMaxBytesPerEvent = size_t{256} * 1024;

  // Returns the events that `bytes` completes, without those whose id has
  // already been returned.
  std::string Feed(std::string_view bytes);
  // Discards the partial event. The next attempt resumes after last_id().
  void Restart();

  // Id of the last complete event; empty before the first one.
  const std::optional<uint64_t>& last_id() const { return last_id_; }
  uint32_t event_count() const { return event_count_; }
  bool has_partial_event() const { return !partial_.empty(); }
  // Whether the endpoint has exceeded kMaxBytesPerEvent.
  bool is_oversized() const { return bytes_since_event_ > kMaxBytesPerEvent; }

 private:
  bool Accept(std::string_view event);

  std::string partial_;
  size_t bytes_since_event_ = 0;
  std::optional<uint64_t> last_id_;
  uint32_t event_count_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_EVENT_SPLITTER_H_
