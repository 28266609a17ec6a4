#ifndef TEASELTHREAD_ATTEMPTS_RETRY_ALLOWANCE_H_
#define TEASELTHREAD_ATTEMPTS_RETRY_ALLOWANCE_H_

#include <array>
#include <cstdint>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// How many retries all nodes together may send to a service in any `window`:
// `ratio` times the number of its requests, plus `slack`.
struct RetryLimit {
  double ratio = 0;
  double slack = 0;
  Duration window = std::chrono::seconds(10);

  friend auto operator<=>(const RetryLimit&, const RetryLimit&) = default;
};

// This node's share of a service's retry limit: the ratio applied to its own
// requests, plus the slack divided by the number of nodes. Each node computes
// its share without communicating with the others.
//
// Load pattern: many endpoints fail while callers retry immediately, so that
// unlimited retries would sustain the overload.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryLimit limit) : limit_(limit) {}

  // Changes the limit and keeps the counts. The window must stay the same.
  void set_limit(RetryLimit limit) { limit_ = limit; }

  void OnRequest(Timestamp now);
  // Takes one retry from the allowance; returns false if none is left.
  bool TryTake(size_t nodes, Timestamp now);
  // Whether one more retry leaves at least the rest of the allowance unused
  // when `usable_share` of it, from 0 to 1, may be used.
  bool HasRoom(size_t nodes, double usable_share, Timestamp now) const;
  // Counts a retry that is made whether or not the allowance covers it.
  void OnRetry(Timestamp now);

 private:
  // The window is divided into 10 time slices. One more is kept because the
  // window covers only part of the oldest.
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
