#ifndef TEASELTHREAD_ENDPOINTS_REMOVAL_GRACE_PERIOD_H_
#define TEASELTHREAD_ENDPOINTS_REMOVAL_GRACE_PERIOD_H_

#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Determines how long endpoint removals are deferred after a store outage:
// entries that expired during the outage are registered again within 2 s of its
// end. The outage ends with the first call that succeeds. Watches that return
// later, because nothing has changed for them, do not restart the period.
//
// Removals may be deferred only until the contact bound, which is measured from
// the end of the disruption. A gateway notices that end late, with its next
// call, so the period is limited by the time of the last failed call, when the
// disruption still lasted.
class RemovalGracePeriod {
 public:
  // `contact_bound`: time from the end of a disruption until removals must be
  // in effect.
  explicit RemovalGracePeriod(Duration contact_bound)
      : contact_bound_(contact_bound) {}

  // A call to the store has failed. Only the first failure of an outage counts.
  void OnLost(Timestamp now);
  // A call has succeeded after failed ones, the last of which was made at
  // `last_failed_call_at`. Returns the end of the grace period, or nothing if
  // the period has already started or only a single connection had failed.
  std::optional<Timestamp> OnRegained(Timestamp last_failed_call_at,
                                      Timestamp now);
  // How long removals are deferred after the store was restored from an older
  // copy, which lacks what was registered since.
  static Duration AfterRestoration(Duration contact_bound);

 private:
  Duration contact_bound_;
  std::optional<Timestamp> lost_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_REMOVAL_GRACE_PERIOD_H_
