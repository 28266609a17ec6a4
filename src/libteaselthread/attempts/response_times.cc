#include "libteaselthread/attempts/response_times.h"

#include <algorithm>
#include <vector>

namespace teaselthread {
namespace {

// The median of 64 times of a service that is as usual varies by less than
// this; one whose usual work takes this much longer has less room for hedges.
constexpr int kSlowNumerator = 3;
constexpr int kSlowDenominator = 2;

Duration QuantileOf(std::vector<Duration> times, double share) {
  const auto index =
      static_cast<size_t>(share * static_cast<double>(times.size()));
  const auto found = times.begin() + static_cast<std::ptrdiff_t>(
                                         std::min(index, times.size() - 1));
  std::nth_element(times.begin(), found, times.end());
  return *found;
}

}  // namespace

void ResponseTimes::Add(Duration time) {
  times_[total_ % kCapacity] = time;
  ++total_;
  if (total_ % kBlockSize == 0)
    block_medians_[(total_ / kBlockSize - 1) % kBlocks] = RecentMedian();
}

std::optional<Duration> ResponseTimes::Quantile(double share) const {
  if (total_ < kMinCount)
    return std::nullopt;
  const size_t count = std::min(total_, kCapacity);
  return QuantileOf({times_.begin(), times_.begin() + count}, share);
}

bool ResponseTimes::IsSlow() const {
  const size_t blocks = std::min(total_ / kBlockSize, kBlocks);
  if (blocks == 0)
    return false;
  const Duration usual = QuantileOf(
      {block_medians_.begin(), block_medians_.begin() + blocks}, 0.5);
  return RecentMedian() * kSlowDenominator > usual * kSlowNumerator;
}

Duration ResponseTimes::RecentMedian() const {
  std::vector<Duration> recent;
  for (size_t i = total_ - std::min(total_, kBlockSize); i < total_; ++i)
    recent.push_back(times_[i % kCapacity]);
  return QuantileOf(std::move(recent), 0.5);
}

}  // namespace teaselthread
