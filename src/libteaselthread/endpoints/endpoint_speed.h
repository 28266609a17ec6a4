#ifndef TEASELTHREAD_ENDPOINTS_ENDPOINT_SPEED_H_
#define TEASELTHREAD_ENDPOINTS_ENDPOINT_SPEED_H_

#include <cstdint>
#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// How long work takes at an endpoint at the moment, as the endpoint reports it:
// 100 percent is as usual, 200 twice as long.
//
// Reports are smoothed by the time between them, so that a report that arrives
// twice, or many that were made together, count about once. After the latest
// report the value returns to the usual one, so that an endpoint that gets no
// requests because it was slow is tried again.
//
// Load pattern: endpoints that share their VM with others and become several
// times slower and usual again within a second.
class EndpointSpeed {
 public:
  // A report older than the latest one, or of 0 percent, is ignored.
  void OnReport(uint32_t percent, Timestamp reported_at);
  // The multiple of the usual time that work takes; 1 if nothing is known.
  double Slowness(Timestamp now) const;
  // Whether a report is recent enough to affect Slowness.
  bool IsKnown(Timestamp now) const;

 private:
  double slowness_ = 1;  // at the time of the latest report
  std::optional<Timestamp> reported_at_;
};

// The usual time that one request of a plain service takes at an endpoint,
// learned from responses.
//
// Load pattern: short calls of similar size.
class UsualWorkTime {
 public:
  // A response arrived `elapsed` after its request was sent to an endpoint at
  // which it was expected to take `multiple` times the usual time.
  void OnResponse(Duration elapsed, double multiple);
  // A typical time until the first response is known.
  Duration Estimate() const;

 private:
  std::optional<double> mean_;  // in units of Duration
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_ENDPOINT_SPEED_H_
