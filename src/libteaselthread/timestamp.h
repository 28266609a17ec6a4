#ifndef TEASELTHREAD_TIMESTAMP_H_
#define TEASELTHREAD_TIMESTAMP_H_

#include <chrono>
#include <cstdint>

namespace teaselthread {

using Duration = std::chrono::microseconds;

// The clock of the library. It has no now(): functions that need the current
// time take it as an argument, so that the same code runs in virtual and in
// real time.
struct SteadyClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyClock, duration>;
  // std::chrono requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

// Microseconds on a monotonic clock with an arbitrary epoch.
using Timestamp = SteadyClock::time_point;

// Seconds since the Unix epoch.
using WallSeconds = std::chrono::seconds;

}  // namespace teaselthread

#endif  // TEASELTHREAD_TIMESTAMP_H_
