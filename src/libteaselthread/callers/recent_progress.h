#ifndef TEASELTHREAD_CALLERS_RECENT_PROGRESS_H_
#define TEASELTHREAD_CALLERS_RECENT_PROGRESS_H_

#include <cstddef>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Bytes that a connection has transferred within the last one to two seconds.
// The mean since its start would rate a sender highly that stops just short of
// the end of its body.
class RecentProgress {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(1);

  explicit RecentProgress(Timestamp now) : window_start_(now) {}

  void Add(size_t bytes, Timestamp now) {
    Advance(now);
    current_ += bytes;
  }
  size_t Bytes(Timestamp now) {
    Advance(now);
    return previous_ + current_;
  }

 private:
  void Advance(Timestamp now) {
    const Duration elapsed = now - window_start_;
    if (elapsed < kWindow)
      return;
    previous_ = elapsed < 2 * kWindow ? current_ : 0;
    current_ = 0;
    window_start_ = now;
  }

  Timestamp window_start_;
  size_t current_ = 0;
  size_t previous_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_RECENT_PROGRESS_H_
