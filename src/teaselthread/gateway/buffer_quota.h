#ifndef TEASELTHREAD_GATEWAY_BUFFER_QUOTA_H_
#define TEASELTHREAD_GATEWAY_BUFFER_QUOTA_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "libteaselthread/callers/buffer_shares.h"

namespace teaselthread {

// Limits the memory that the bodies of all requests and the buffered responses
// use together. BufferShares decides who gets it; this class tells connections
// that they have lost their share.
//
// Load pattern: many callers send large bodies at the same time.
class BufferQuota {
 private:
  struct State {
    BufferShares shares;
    std::function<Timestamp()> now;
    std::map<BufferShares::HolderId, std::function<void()>> on_reclaimed;
  };

 public:
  // The bytes that one request or response uses. They are released when it is
  // destroyed, which may be after the quota.
  class Reservation {
   public:
    // A response that is being received from an endpoint.
    explicit Reservation(BufferQuota* quota);
    // What a caller's connection holds. `on_reclaimed` is called, from the Grow
    // of another reservation, when this one has lost everything to it.
    Reservation(BufferQuota* quota,
                std::string caller,
                std::function<void()> on_reclaimed);
    ~Reservation();
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Returns false, and reserves nothing, if the quota does not suffice.
    bool Grow(size_t bytes);
    // The same for a total, which may already be reserved.
    bool GrowTo(size_t total_bytes);
    // Releases what exceeds the total.
    void ShrinkTo(size_t total_bytes);
    // See BufferShares.
    void OnProgress(size_t bytes);
    void SetCaller(std::string caller);
    void SetExpected(size_t bytes);
    void Pin();

   private:
    std::shared_ptr<State> state_;
    BufferShares::HolderId id_;
  };

  // `now` returns the time for the rates of senders. Without it, no time passes
  // and nobody is slow.
  explicit BufferQuota(
      size_t limit_bytes,
      std::function<Timestamp()> now = [] { return Timestamp(); });
  // The limit for a process that may use `memory_bytes` in total.
  static size_t LimitFor(size_t memory_bytes);

  // Whether a body of this size may fit, see BufferShares.
  bool MayFit(size_t bytes) const;
  size_t used() const { return state_->shares.used(); }
  size_t limit() const { return state_->shares.limit(); }
  // The part of the limit that only small and fast requests get.
  size_t reserve() const { return state_->shares.reserve(); }

 private:
  std::shared_ptr<State> state_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_BUFFER_QUOTA_H_
