#include "libteaselthread/peers/missed_change_detector.h"

namespace teaselthread {

void MissedChangeDetector::OnPeerRevision(uint64_t change, Timestamp now) {
  if (change <= newest_peer_revision_)
    return;
  newest_peer_revision_ = change;
  heard_at_ = now;
}

bool MissedChangeDetector::IsMissed(uint64_t known,
                                    std::optional<Timestamp> waiting_since,
                                    Timestamp now) const {
  if (newest_peer_revision_ <= known || !waiting_since)
    return false;
  return now - heard_at_ >= timeouts_.after_announcement &&
         now - *waiting_since >= timeouts_.after_call;
}

}  // namespace teaselthread
