#ifndef TEASELTHREAD_SLOW_START_H_
#define TEASELTHREAD_SLOW_START_H_

#include <optional>

#include "libteaselthread/configuration.h"
#include "libteaselthread/endpoint.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// How much one endpoint may be given by its temperature alone: the cold limit
// while it is cold or unknown, then a linear ramp to its slots.
class SlowStart {
 public:
  // An endpoint that was known to be warm needs no ramp.
  static SlowStart Unknown() { return SlowStart(); }
  static SlowStart AlreadyWarm();

  EndpointTemperature temperature() const {
    return warm_since_ ? EndpointTemperature::kWarm
                       : EndpointTemperature::kCold;
  }
  int Limit(const EndpointPolicy& policy, Timestamp now) const;

  // The endpoint's own report, up to `report_lag` old.
  void OnReport(EndpointTemperature reported,
                Duration report_lag,
                Timestamp now);
  void OnFirstByte(Duration latency,
                   const EndpointPolicy& policy,
                   Timestamp now);

 private:
  std::optional<Timestamp> warm_since_;
  // A cold start seen here outweighs reports that are older than it.
  std::optional<Timestamp> cold_seen_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_SLOW_START_H_
