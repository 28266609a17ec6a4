#ifndef TEASELTHREAD_ENDPOINTS_REMOVAL_GRACE_PERIOD_H_
#define TEASELTHREAD_ENDPOINTS_REMOVAL_GRACE_PERIOD_H_

#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Tells for how long removals of endpoints are put off after the store was
// away: entries that lapsed meanwhile come back within 2 s of its return. Its
// return is the first call that succeeds; watches that answer later, because
// nothing has changed for them, do not begin the time anew.
//
// Removals may be put off only until the contact bound, which counts from the
// end of the disruption. A gateway learns of that end late, by its next call;
// the disruption still lasted when the last call that failed was made.
class RemovalGracePeriod {
 public:
  // `contact_bound`: from the end of a disruption until removals must count.
  explicit RemovalGracePeriod(Duration contact_bound)
      : contact_bound_(contact_bound) {}

  // The first of some calls has failed.
  void OnLost(Timestamp now);
  // A call has succeeded after failures, the last of which was made at
  // `last_failed_call_at`. Gives the end of the grace, unless it has begun
  // before or the failure was of one connection only.
  std::optional<Timestamp> OnRegained(Timestamp last_failed_call_at,
                                      Timestamp now);

 private:
  Duration contact_bound_;
  std::optional<Timestamp> lost_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_REMOVAL_GRACE_PERIOD_H_
