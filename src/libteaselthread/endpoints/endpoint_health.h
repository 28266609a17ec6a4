#ifndef TEASELTHREAD_ENDPOINTS_ENDPOINT_HEALTH_H_
#define TEASELTHREAD_ENDPOINTS_ENDPOINT_HEALTH_H_

#include <cstdint>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Judges one endpoint by the outcomes of this node's own requests, since its
// health answers can be false either way. An endpoint that fails too often is
// ejected for a while, and then let in again with one trial request.
//
// Load pattern: endpoints that fail, hang or reset a share of their requests
// while their health check passes, and endpoints that are unreachable.
class EndpointHealth {
 public:
  // Whether a request may be sent: not ejected, or due for a trial.
  bool Allows(Timestamp now) const;
  bool ejected() const { return ejected_; }
  // Share of failures among the latest requests, 0 to 1.
  double failure_rate() const { return failure_rate_; }

  // A request goes to it. While it is ejected this is the trial.
  void OnSend(Timestamp now);
  void OnSuccess();
  // `tolerated_rate` is what its peers' failures excuse.
  void OnFailure(double tolerated_rate, Timestamp now);
  // No connection could be made.
  void OnUnreachable(Timestamp now);
  // The request ended in a way that says nothing about the endpoint.
  void OnAbandoned() { trial_until_ = {}; }

 private:
  void Eject(Duration base, Timestamp now);

  double failure_rate_ = 0;
  uint32_t samples_ = 0;
  uint32_t consecutive_failures_ = 0;
  uint32_t ejections_ = 0;  // in a row, without a success
  bool ejected_ = false;
  Timestamp ejected_until_{};
  Timestamp trial_until_{};  // a trial is under way until then
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_ENDPOINT_HEALTH_H_
