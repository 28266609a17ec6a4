#ifndef TEASELTHREAD_SLOW_START_H_
#define TEASELTHREAD_SLOW_START_H_

#include <optional>

#include "libteaselthread/configuration.h"
#include "libteaselthread/endpoint.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The load limit of one endpoint by its temperature: the cold limit while the
// endpoint is cold or unknown, then a linear ramp up to its slots.
class SlowStart {
 public:
  static SlowStart Unknown() { return SlowStart(); }
  // For an endpoint that is known to be warm: no ramp.
  static SlowStart AlreadyWarm();

  EndpointTemperature temperature() const {
    return warm_since_ ? EndpointTemperature::kWarm
                       : EndpointTemperature::kCold;
  }
  int Limit(const EndpointPolicy& policy, Timestamp now) const;

  // The temperature in the endpoint's load report, which is up to `report_lag`
  // old.
  void OnReport(EndpointTemperature reported,
                Duration report_lag,
                Timestamp now);
  void OnFirstByte(Duration latency,
                   const EndpointPolicy& policy,
                   Timestamp now);

 private:
  std::optional<Timestamp> warm_since_;
  // When a slow response last showed a cold start. Reports that may be older
  // than that are ignored.
  std::optional<Timestamp> cold_seen_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_SLOW_START_H_
