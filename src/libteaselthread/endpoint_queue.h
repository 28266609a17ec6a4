#ifndef TEASELTHREAD_ENDPOINT_QUEUE_H_
#define TEASELTHREAD_ENDPOINT_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

using CallId = uint64_t;

// One call that asks an owner for a place at an endpoint.
struct AdmissionRequest {
  CallId id = 0;
  std::string customer;
  int priority = 0;
  Timestamp deadline{};
  // How long the call may wait for a place; zero: not at all. The deadline
  // ends a wait too.
  Duration max_wait{};

  friend auto operator<=>(const AdmissionRequest&,
                          const AdmissionRequest&) = default;
};

// The calls that run at, or wait for, one endpoint. Waiting calls are taken
// by priority, then from the customer with the fewest running calls here, then
// by deadline.
class EndpointQueue {
 public:
  static constexpr size_t kMaxWaiting = 64;

  uint32_t running() const { return static_cast<uint32_t>(running_.size()); }
  // Running calls that were started at `cutoff` or before.
  uint32_t RunningSince(Timestamp cutoff) const;
  size_t waiting() const { return waiting_.size(); }
  bool full() const { return waiting_.size() >= kMaxWaiting; }

  void Start(const AdmissionRequest& request, Timestamp now);
  void Enqueue(const AdmissionRequest& request, Timestamp now);
  // Ends a running call or drops a waiting one.
  void Remove(CallId id, Timestamp now);
  std::optional<AdmissionRequest> TakeNext();
  // Takes out the waiting calls whose time to wait has passed.
  std::vector<AdmissionRequest> TakeExpired(Timestamp now);
  std::vector<CallId> TakeAllWaiting();

  // Expected wait of a call that joins the queue now, at `limit` places.
  Duration ExpectedWait(int limit) const;

 private:
  struct WaitingCall {
    AdmissionRequest request;
    Timestamp wait_until;
  };
  struct RunningCall {
    std::string customer;
    Timestamp started;
  };

  uint32_t RunningOf(const std::string& customer) const;

  std::map<CallId, RunningCall> running_;
  std::vector<WaitingCall> waiting_;
  Duration typical_service_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_QUEUE_H_
