#ifndef TEASELTHREAD_PEERS_REVISION_ANNOUNCEMENT_H_
#define TEASELTHREAD_PEERS_REVISION_ANNOUNCEMENT_H_

#include <cstdint>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// The newest change of the store that this node knows of one kind, and whether
// it is still worth telling others. Heartbeats tell of it for a while only, as
// most of the time nothing changes.
class RevisionAnnouncement {
 public:
  // `revision` of the store; lower ones than before say nothing new.
  void OnRevision(uint64_t revision, Timestamp now);
  // The revision to tell, or 0.
  uint64_t RevisionToAnnounce(Timestamp now) const;

 private:
  uint64_t revision_ = 0;
  Timestamp known_since_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_REVISION_ANNOUNCEMENT_H_
