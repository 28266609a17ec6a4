#ifndef TEASELTHREAD_PEERS_REVISION_ANNOUNCEMENT_H_
#define TEASELTHREAD_PEERS_REVISION_ANNOUNCEMENT_H_

#include <cstdint>

#include "libteaselthread/peers/store_changes.h"

namespace teaselthread {

// The revision of the newest change of one kind in the store that this node
// knows, and whether it should still be announced to other nodes. Heartbeats
// announce it for a limited time only, since most of the time nothing changes.
class RevisionAnnouncement {
 public:
  // `revision`: a revision of the store. Values that are not higher than the
  // newest one so far of the same epoch are ignored.
  void OnRevision(uint64_t revision, Timestamp now, StoreEpoch epoch = {});
  // The revision to announce, or 0 if there is none.
  uint64_t RevisionToAnnounce(Timestamp now) const;
  // Of that revision.
  StoreEpoch epoch() const { return epoch_; }

 private:
  uint64_t revision_ = 0;
  StoreEpoch epoch_;
  Timestamp revision_known_since_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_REVISION_ANNOUNCEMENT_H_
