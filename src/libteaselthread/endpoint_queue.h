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

// A call that requests a slot at an endpoint from the endpoint's owner.
struct AdmissionRequest {
  CallId id = 0;
  std::string customer;
  int priority = 0;
  Timestamp deadline{};
  // How long the call may wait for a slot; zero if it may not wait. The
  // deadline ends the wait too.
  Duration max_wait{};

  friend auto operator<=>(const AdmissionRequest&,
                          const AdmissionRequest&) = default;
};

// The calls that are running at one endpoint or waiting for it. Waiting calls
// are ordered by priority, then by the number of calls that their customer has
// running at this endpoint (fewest first), then by deadline.
class EndpointQueue {
 public:
  static constexpr size_t kMaxWaiting = 64;

  uint32_t running() const { return static_cast<uint32_t>(running_.size()); }
  // The number of running calls that were started at `cutoff` or before.
  uint32_t RunningStartedBy(Timestamp cutoff) const;
  size_t waiting() const { return waiting_.size(); }
  bool full() const { return waiting_.size() >= kMaxWaiting; }

  void Start(const AdmissionRequest& request, Timestamp now);
  void Enqueue(const AdmissionRequest& request, Timestamp now);
  // Ends a running call or removes a waiting one.
  void Remove(CallId id, Timestamp now);
  std::optional<AdmissionRequest> TakeNext();
  // Removes and returns the waiting calls whose waiting time is over.
  std::vector<AdmissionRequest> TakeExpired(Timestamp now);
  std::vector<CallId> TakeAllWaiting();

  // The expected wait of a call that joins the queue now, with `limit` slots.
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
  Duration average_service_time_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_QUEUE_H_
