#include "libteaselthread/peers/missed_change.h"

namespace teaselthread {

void MissedChange::OnHeard(uint64_t change, Timestamp now) {
  if (change <= newest_heard_)
    return;
  newest_heard_ = change;
  heard_at_ = now;
}

bool MissedChange::IsMissed(uint64_t known,
                            std::optional<Timestamp> waiting_since,
                            Timestamp now) const {
  if (newest_heard_ <= known || !waiting_since)
    return false;
  return now - heard_at_ >= patience_.since_heard &&
         now - *waiting_since >= patience_.since_call;
}

}  // namespace teaselthread
