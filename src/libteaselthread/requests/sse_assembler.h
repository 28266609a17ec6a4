#ifndef TEASELTHREAD_REQUESTS_SSE_ASSEMBLER_H_
#define TEASELTHREAD_REQUESTS_SSE_ASSEMBLER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselthread {

// Cuts a server-sent event stream into whole events, so that a stream that
// breaks inside an event can be resumed at the event's start, and recognises
// the end mark "data: [DONE]".
class SseAssembler {
 public:
  // Returns the events that `bytes` completes, with their blank lines.
  std::string Feed(std::string_view bytes);
  // Forgets the part of an event that a broken stream has left.
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
