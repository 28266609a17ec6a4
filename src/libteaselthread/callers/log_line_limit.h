#ifndef TEASELTHREAD_CALLERS_LOG_LINE_LIMIT_H_
#define TEASELTHREAD_CALLERS_LOG_LINE_LIMIT_H_

#include <cstdint>
#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Bounds the log lines of one kind to kLinesPerSecond, so that those of other
// decisions are not dropped from the log's queue.
//
// Load pattern: thousands of connections are refused or closed each second.
class LogLineLimit {
 public:
  static constexpr uint32_t kLinesPerSecond = 20;

  // Returns the number of lines that were suppressed since the last one that
  // was written, or nothing if this one is to be suppressed.
  std::optional<uint64_t> Take(Timestamp now) {
    if (now - second_start_ >= std::chrono::seconds(1)) {
      second_start_ = now;
      lines_ = 0;
    }
    if (lines_ >= kLinesPerSecond) {
      ++suppressed_;
      return std::nullopt;
    }
    ++lines_;
    const uint64_t suppressed = suppressed_;
    suppressed_ = 0;
    return suppressed;
  }

 private:
  Timestamp second_start_;
  uint32_t lines_ = 0;
  uint64_t suppressed_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_LOG_LINE_LIMIT_H_
