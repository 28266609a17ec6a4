#ifndef TEASELTHREAD_GATEWAY_BUFFER_QUOTA_H_
#define TEASELTHREAD_GATEWAY_BUFFER_QUOTA_H_

#include <cstddef>

namespace teaselthread {

// Limits the memory that the bodies of all requests and the buffered responses
// use together.
//
// Load pattern: many callers send large bodies at the same time.
class BufferQuota {
 public:
  // The bytes that one request or response uses. They are released when it is
  // destroyed.
  class Reservation {
   public:
    explicit Reservation(BufferQuota* quota) : quota_(quota) {}
    ~Reservation() { quota_->used_ -= bytes_; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Returns false, and reserves nothing, if the quota does not suffice.
    bool Grow(size_t bytes);
    // The same for a total, which may already be reserved.
    bool GrowTo(size_t total_bytes) {
      return total_bytes <= bytes_ || Grow(total_bytes - bytes_);
    }

   private:
    BufferQuota* quota_;
    size_t bytes_ = 0;
  };

  explicit BufferQuota(size_t limit_bytes) : limit_(limit_bytes) {}
  // The limit for a process that may use `memory_bytes` in total.
  static size_t LimitFor(size_t memory_bytes);

  size_t used() const { return used_; }
  size_t limit() const { return limit_; }

 private:
  size_t limit_;
  size_t used_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_BUFFER_QUOTA_H_
