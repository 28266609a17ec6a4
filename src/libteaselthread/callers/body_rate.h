#ifndef TEASELTHREAD_CALLERS_BODY_RATE_H_
#define TEASELTHREAD_CALLERS_BODY_RATE_H_

#include <cstddef>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Minimum rate at which a body has to arrive, in each period of the grace time.
//
// Load pattern: clients send most of a body, or nothing of it, and keep the
// connection open with a few bytes from time to time.
class BodyRate {
 public:
  struct Limit {
    size_t bytes_per_second = 1'024;
    Duration grace = std::chrono::seconds(5);

    friend auto operator<=>(const Limit&, const Limit&) = default;
  };

  BodyRate(Limit limit, Timestamp now) : limit_(limit), since_(now) {}

  void OnBytes(size_t bytes) { bytes_ += bytes; }
  // When the current period ends.
  Timestamp ends_at() const { return since_ + limit_.grace; }
  // Whether a period has ended with too few bytes. Starts the next period if
  // one has ended.
  bool IsTooSlow(Timestamp now) {
    if (now < ends_at())
      return false;
    const double seconds = std::chrono::duration<double>(now - since_).count();
    const bool is_too_slow =
        static_cast<double>(bytes_) <
        static_cast<double>(limit_.bytes_per_second) * seconds;
    since_ = now;
    bytes_ = 0;
    return is_too_slow;
  }

 private:
  Limit limit_;
  Timestamp since_;
  size_t bytes_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_BODY_RATE_H_
