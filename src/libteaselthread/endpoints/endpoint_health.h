#ifndef TEASELTHREAD_ENDPOINTS_ENDPOINT_HEALTH_H_
#define TEASELTHREAD_ENDPOINTS_ENDPOINT_HEALTH_H_

#include <cstdint>
#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Passive health check of one endpoint, based on the outcomes of this node's
// own requests, since the endpoint's own health check can be wrong in either
// direction. An endpoint that fails too often is ejected for a limited time and
// readmitted when one trial request succeeds.
//
// Load pattern: endpoints that fail, hang or reset some of their requests while
// their health check passes, and endpoints that are unreachable.
class EndpointHealth {
 public:
  // Whether a request may be sent: the endpoint is not ejected, or a trial
  // request is due.
  bool Allows(Timestamp now) const;
  bool ejected() const { return ejected_; }
  // Share of failures among the latest requests, from 0 to 1.
  double failure_rate() const { return failure_rate_; }

  // A request is sent to the endpoint. While it is ejected, this is the trial
  // request.
  void OnSend(Timestamp now);
  void OnSuccess();
  // `tolerated_rate`: failure rate up to which the endpoint is not ejected; it
  // depends on the failure rate of the service's other endpoints.
  void OnFailure(double tolerated_rate, Timestamp now);
  // No connection could be established.
  void OnUnreachable(Timestamp now);
  // The request, sent at `sent_at`, was cancelled before any response, because
  // another endpoint has responded first. This is a failure if the endpoint has
  // completed no request since the first such one was sent, `timeout` ago or
  // longer.
  void OnCancelled(Timestamp sent_at,
                   Duration timeout,
                   double tolerated_rate,
                   Timestamp now);
  // The request ended for a reason that is unrelated to the endpoint's health,
  // or its outcome has already been counted.
  void OnAbandoned() { trial_until_ = {}; }

 private:
  void Eject(Duration base, Timestamp now);

  double failure_rate_ = 0;
  uint32_t samples_ = 0;
  uint32_t consecutive_failures_ = 0;
  uint32_t ejections_ = 0;  // since the last success
  bool ejected_ = false;
  // When the first request was sent that was cancelled since the last success.
  std::optional<Timestamp> unanswered_since_;
  Timestamp ejected_until_{};
  Timestamp trial_until_{};  // no other trial request is sent before this time
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_ENDPOINT_HEALTH_H_
