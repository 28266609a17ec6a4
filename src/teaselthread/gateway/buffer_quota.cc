#include "teaselthread/gateway/buffer_quota.h"

namespace teaselthread {

bool BufferQuota::Reservation::Grow(size_t bytes) {
  if (quota_->used_ + bytes > quota_->limit_)
    return false;
  quota_->used_ += bytes;
  bytes_ += bytes;
  return true;
}

}  // namespace teaselthread
