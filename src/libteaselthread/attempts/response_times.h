#ifndef TEASELTHREAD_ATTEMPTS_RESPONSE_TIMES_H_
#define TEASELTHREAD_ATTEMPTS_RESPONSE_TIMES_H_

#include <array>
#include <cstddef>
#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The latest response times of one route, their quantiles, and whether they are
// longer than usual.
//
// Load pattern: most responses take about as long as usual, and a few take many
// times longer; or the whole service is slower for a while.
class ResponseTimes {
 public:
  // A few hundred: the quantile follows the load, and 13 values lie above the
  // 95th percentile.
  static constexpr size_t kCapacity = 256;
  // With fewer values than this, no more than four lie above the 95th
  // percentile.
  static constexpr size_t kMinCount = 100;

  void Add(Duration time);
  // `share` is from 0 to 1. Empty while fewer than kMinCount times are known.
  std::optional<Duration> Quantile(double share) const;
  // Whether the median of the latest 64 times is over 1.5 times the usual one,
  // which is taken from about the latest 2,000.
  bool IsSlow() const;

 private:
  static constexpr size_t kBlockSize = 64;
  static constexpr size_t kBlocks = 32;

  Duration RecentMedian() const;

  std::array<Duration, kCapacity> times_{};
  std::array<Duration, kBlocks> block_medians_{};
  size_t total_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_RESPONSE_TIMES_H_
