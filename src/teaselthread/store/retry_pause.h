#ifndef TEASELTHREAD_STORE_RETRY_PAUSE_H_
#define TEASELTHREAD_STORE_RETRY_PAUSE_H_

#include <algorithm>
#include <random>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The pauses after writes to the store that fail. They double up to a longest
// one, and have jitter, so that several writers do not try again together.
class RetryPause {
 public:
  // A write has succeeded.
  void Reset() { longest_ = kShortest; }
  // The pause after a failure.
  Duration Next(std::mt19937_64& random) {
    std::uniform_real_distribution<double> jitter(0.7, 1.0);
    const auto pause =
        std::chrono::duration_cast<Duration>(longest_ * jitter(random));
    longest_ = std::min(2 * longest_, kLongest);
    return pause;
  }

 private:
  static constexpr Duration kShortest = std::chrono::milliseconds(200);
  static constexpr Duration kLongest = std::chrono::milliseconds(3'200);

  Duration longest_ = kShortest;  // of the next pause
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_RETRY_PAUSE_H_
