#ifndef TEASELTHREAD_ATTEMPTS_EVENT_SPLITTER_H_
#define TEASELTHREAD_ATTEMPTS_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselthread {

// Splits a server-sent event stream into complete events and tracks their ids,
// so that a stream that breaks inside an event can be resumed at another
// endpoint.
class EventSplitter {
 public:
  // Returns the events that `bytes` completes, without those whose id has
  // already been returned.
  std::string Feed(std::string_view bytes);
  // Discards the partial event. The next attempt resumes after last_id().
  void Restart() { partial_.clear(); }

  // Id of the last complete event; empty before the first one.
  const std::optional<uint64_t>& last_id() const { return last_id_; }
  uint32_t event_count() const { return event_count_; }
  bool has_partial_event() const { return !partial_.empty(); }

 private:
  bool Accept(std::string_view event);

  std::string partial_;
  std::optional<uint64_t> last_id_;
  uint32_t event_count_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_EVENT_SPLITTER_H_
