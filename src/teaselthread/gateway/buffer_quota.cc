#include "teaselthread/gateway/buffer_quota.h"

namespace teaselthread {
namespace {

// The share of the memory that the process uses at most. The rest is a margin
// for what the kernel keeps for its connections, and for fragmentation.
constexpr double kUsableShare = 0.7;
// What the process uses for everything but bodies.
constexpr size_t kBaseBytes = size_t{40} << 20;
constexpr size_t kMinLimit = size_t{8} << 20;

}  // namespace

size_t BufferQuota::LimitFor(size_t memory_bytes) {
  const auto usable =
      static_cast<size_t>(kUsableShare * static_cast<double>(memory_bytes));
  return usable < kBaseBytes + kMinLimit ? kMinLimit : usable - kBaseBytes;
}

bool BufferQuota::Reservation::Grow(size_t bytes) {
  if (quota_->used_ + bytes > quota_->limit_)
    return false;
  quota_->used_ += bytes;
  bytes_ += bytes;
  return true;
}

}  // namespace teaselthread
