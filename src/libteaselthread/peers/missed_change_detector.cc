#include "libteaselthread/peers/missed_change_detector.h"

namespace teaselthread {

void MissedChangeDetector::OnPeerRevision(uint64_t revision,
                                          Timestamp now,
                                          StoreEpoch epoch) {
  if (IsOlderEpoch(epoch, epoch_))
    return;
  const bool is_newer_epoch = IsOlderEpoch(epoch_, epoch);
  if (revision <= newest_peer_revision_ && !is_newer_epoch)
    return;
  if (epoch)
    epoch_ = epoch;
  newest_peer_revision_ = revision;
  announced_at_ = now;
}

bool MissedChangeDetector::IsMissed(uint64_t known_revision,
                                    std::optional<Timestamp> waiting_since,
                                    Timestamp now,
                                    StoreEpoch known_epoch) const {
  if (IsOlderEpoch(epoch_, known_epoch) || !waiting_since)
    return false;
  const bool is_newer_epoch = IsOlderEpoch(known_epoch, epoch_);
  if (newest_peer_revision_ <= known_revision && !is_newer_epoch)
    return false;
  return now - announced_at_ >= timeouts_.after_announcement &&
         now - *waiting_since >= timeouts_.after_call;
}

}  // namespace teaselthread
