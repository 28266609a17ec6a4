#include "libteaselthread/requests/sse_assembler.h"

namespace teaselthread {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDoneMarker = "data: [DONE]";

}  // namespace

std::string SseAssembler::Feed(std::string_view bytes) {
  std::string complete;
  partial_.append(bytes);
  size_t start = 0;
  while (!done_) {
    const size_t end = partial_.find(kEventEnd, start);
    if (end == std::string::npos)
      break;
    const size_t length = end + kEventEnd.size() - start;
    const std::string_view event(partial_.data() + start, length);
    complete.append(event);
    ++event_count_;
    done_ = event.substr(0, kDoneMarker.size()) == kDoneMarker;
    start += length;
  }
  partial_.erase(0, start);
  return complete;
}

}  // namespace teaselthread
