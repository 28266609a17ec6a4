#include "libteaselthread/peers/missed_change_detector.h"

namespace teaselthread {

void MissedChangeDetector::OnPeerRevision(uint64_t revision, Timestamp now) {
  if (revision <= newest_peer_revision_)
    return;
  newest_peer_revision_ = revision;
  announced_at_ = now;
}

bool MissedChangeDetector::IsMissed(uint64_t known_revision,
                                    std::optional<Timestamp> waiting_since,
                                    Timestamp now) const {
  if (newest_peer_revision_ <= known_revision || !waiting_since)
    return false;
  return now - announced_at_ >= timeouts_.after_announcement &&
         now - *waiting_since >= timeouts_.after_call;
}

}  // namespace teaselthread
