#ifndef TEASELTHREAD_ENDPOINTS_REMOVAL_GRACE_H_
#define TEASELTHREAD_ENDPOINTS_REMOVAL_GRACE_H_

#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Tells for how long removals of endpoints are put off after the store was
// away: entries that lapsed meanwhile come back within 2 s of its return. Its
// return is the first call that succeeds; watches that answer later, because
// nothing has changed for them, do not begin the time anew.
class RemovalGrace {
 public:
  // The first of some calls has failed.
  void OnLost(Timestamp now);
  // A call has succeeded after failures. Gives the end of the grace, unless it
  // has begun before or the failure was of one connection only.
  std::optional<Timestamp> OnRegained(Timestamp now);

 private:
  std::optional<Timestamp> lost_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_REMOVAL_GRACE_H_
