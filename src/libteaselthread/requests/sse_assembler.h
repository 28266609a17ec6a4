#ifndef TEASELTHREAD_REQUESTS_SSE_ASSEMBLER_H_
#define TEASELTHREAD_REQUESTS_SSE_ASSEMBLER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselthread {

// Splits a server-sent event stream into complete events, so that a stream that
// is interrupted within an event can be resumed at the start of that event.
// Detects the end marker "data: [DONE]".
class SseAssembler {
 public:
  // Returns the events that `bytes` completes, including the blank line after
  // each.
  std::string Feed(std::string_view bytes);
  // Discards the incomplete event at the end of an interrupted stream.
  void DropPartialEvent() { partial_.clear(); }

  uint32_t event_count() const { return event_count_; }
  bool done() const { return done_; }

 private:
  std::string partial_;
  uint32_t event_count_ = 0;
  bool done_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_SSE_ASSEMBLER_H_
