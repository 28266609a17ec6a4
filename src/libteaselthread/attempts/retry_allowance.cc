#include "libteaselthread/attempts/retry_allowance.h"

#include <algorithm>

namespace teaselthread {
namespace {

// The remainder is a margin for requests that are counted here but lie outside
// the operators' sliding window.
constexpr double kUsableShare = 0.7;

}  // namespace

void RetryAllowance::OnRequest(Timestamp now) {
  ++SliceAt(now).requests;
}

void RetryAllowance::OnRetry(Timestamp now) {
  ++SliceAt(now).retries;
}

bool RetryAllowance::TryTake(size_t nodes, Timestamp now) {
  if (!HasRoom(nodes, 1, now))
    return false;
  OnRetry(now);
  return true;
}

bool RetryAllowance::HasRoom(size_t nodes,
                             double usable_share,
                             Timestamp now) const {
  const int64_t current = IndexOf(now);
  uint32_t requests = 0;
  uint32_t retries = 0;
  for (const Slice& slice : slices_) {
    const int64_t age = current - slice.index;
    if (slice.index < 0 || age >= static_cast<int64_t>(kSlices))
      continue;
    retries += slice.retries;
    // Retries are counted over all slices, requests over one slice fewer, so
    // that the partly covered oldest slice never raises the allowance.
    if (age + 1 < static_cast<int64_t>(kSlices))
      requests += slice.requests;
  }
  const double share =
      limit_.slack / static_cast<double>(std::max<size_t>(1, nodes));
  const double allowed =
      usable_share * kUsableShare * (limit_.ratio * requests + share);
  return retries + 1 <= allowed;
}

RetryAllowance::Slice& RetryAllowance::SliceAt(Timestamp now) {
  const int64_t index = IndexOf(now);
  Slice& slice = slices_[static_cast<size_t>(index) % kSlices];
  if (slice.index != index)
    slice = {index, 0, 0};
  return slice;
}

int64_t RetryAllowance::IndexOf(Timestamp now) const {
  const int64_t slice_length =
      limit_.window.count() / static_cast<int64_t>(kSlices - 1);
  return now.time_since_epoch().count() / slice_length;
}

}  // namespace teaselthread
