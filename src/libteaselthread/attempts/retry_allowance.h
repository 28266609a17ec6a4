#ifndef TEASELTHREAD_ATTEMPTS_RETRY_ALLOWANCE_H_
#define TEASELTHREAD_ATTEMPTS_RETRY_ALLOWANCE_H_

#include <array>
#include <cstdint>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// What all nodes together may send to a service beyond the first send of each
// request: `ratio` of its requests, and `slack` more, in any `window`.
struct RetryLimit {
  double ratio = 0;
  double slack = 0;
  Duration window = std::chrono::seconds(10);

  friend auto operator<=>(const RetryLimit&, const RetryLimit&) = default;
};

// This node's share of a service's retry limit: the ratio of its own requests,
// and the slack divided by the number of nodes. Needs no word from others.
//
// Load pattern: endpoints that fail in numbers while callers repeat at once,
// so that unbounded retries would keep the overload going.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryLimit limit) : limit_(limit) {}

  void OnRequest(Timestamp now);
  // Takes one retry out of the allowance; false if there is none left.
  bool TryTake(size_t nodes, Timestamp now);
  // Counts a retry that was made in any case.
  void OnRetry(Timestamp now);

 private:
  // The window is counted in slices; one more covers the oldest in part.
  static constexpr size_t kSlices = 11;

  struct Slice {
    int64_t index = -1;
    uint32_t requests = 0;
    uint32_t retries = 0;
  };

  Slice& SliceAt(Timestamp now);
  int64_t IndexOf(Timestamp now) const;

  RetryLimit limit_;
  std::array<Slice, kSlices> slices_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_RETRY_ALLOWANCE_H_
