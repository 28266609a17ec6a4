#ifndef TEASELTHREAD_TIMESTAMP_H_
#define TEASELTHREAD_TIMESTAMP_H_

#include <chrono>
#include <cstdint>

namespace teaselthread {

using Duration = std::chrono::microseconds;

// The clock of the decision library. It has no now(): every call that needs
// the time is given it, so that virtual time and real time run the same code.
struct SteadyClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyClock, duration>;
  // The name that std::chrono asks for.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

// Microseconds on a monotonic clock with an arbitrary zero.
using Timestamp = SteadyClock::time_point;

// Seconds since the Unix epoch.
using WallSeconds = std::chrono::seconds;

}  // namespace teaselthread

#endif  // TEASELTHREAD_TIMESTAMP_H_
