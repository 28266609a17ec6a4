#ifndef TEASELTHREAD_GATEWAY_BUFFER_QUOTA_H_
#define TEASELTHREAD_GATEWAY_BUFFER_QUOTA_H_

#include <cstddef>

namespace teaselthread {

// Limits the memory that the buffered responses of all requests use together.
class BufferQuota {
 public:
  // The bytes that one response uses. They are released when it is destroyed.
  class Reservation {
   public:
    explicit Reservation(BufferQuota* quota) : quota_(quota) {}
    ~Reservation() { quota_->used_ -= bytes_; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Returns false, and reserves nothing, if the quota does not suffice.
    bool Grow(size_t bytes);

   private:
    BufferQuota* quota_;
    size_t bytes_ = 0;
  };

  explicit BufferQuota(size_t limit_bytes) : limit_(limit_bytes) {}

  size_t used() const { return used_; }

 private:
  size_t limit_;
  size_t used_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_BUFFER_QUOTA_H_
