#include "libteaselthread/attempts/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace teaselthread {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

std::optional<uint64_t> IdOf(std::string_view event) {
  while (!event.empty()) {
    std::string_view line = event.substr(0, event.find('\n'));
    event.remove_prefix(std::min(line.size() + 1, event.size()));
    if (line.substr(0, kIdField.size()) != kIdField)
      continue;
    line.remove_prefix(kIdField.size());
    if (!line.empty() && line.front() == ' ')
      line.remove_prefix(1);
    uint64_t id = 0;
    const char* end = line.data() + line.size();
    auto [stop, status] = std::from_chars(line.data(), end, id);
    if (status == std::errc() && stop == end)
      return id;
  }
  return std::nullopt;
}

// Whether all lines are empty or comments.
bool IsComment(std::string_view event) {
  while (!event.empty()) {
    const std::string_view line = event.substr(0, event.find('\n'));
    if (!line.empty() && line.front() != ':')
      return false;
    event.remove_prefix(std::min(line.size() + 1, event.size()));
  }
  return true;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  std::string complete_events;
  size_t start = 0;
  // All of `partial_` has been searched, but its last byte may be the first one
  // of an event's end.
  size_t search_from = partial_.empty() ? 0 : partial_.size() - 1;
  partial_.append(bytes);
  bytes_since_event_ += bytes.size();
  for (;;) {
    const size_t end = partial_.find(kEventEnd, search_from);
    if (end == std::string::npos)
      break;
    const std::string_view event(partial_.data() + start,
                                 end + kEventEnd.size() - start);
    if (Accept(event))
      complete_events.append(event);
    start = end + kEventEnd.size();
    search_from = start;
  }
  partial_.erase(0, start);
  return complete_events;
}

void EventSplitter::Restart() {
  partial_.clear();
  bytes_since_event_ = 0;
}

bool EventSplitter::Accept(std::string_view event) {
  if (IsComment(event))
    return true;
  const std::optional<uint64_t> id = IdOf(event);
  if (id && last_id_ && *id <= *last_id_)
    return false;
  if (id)
    last_id_ = id;
  ++event_count_;
  bytes_since_event_ = 0;
  return true;
}

}  // namespace teaselthread
