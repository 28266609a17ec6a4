#ifndef TEASELTHREAD_PEERS_MISSED_CHANGE_DETECTOR_H_
#define TEASELTHREAD_PEERS_MISSED_CHANGE_DETECTOR_H_

#include <cstdint>
#include <optional>

#include "libteaselthread/peers/store_changes.h"

namespace teaselthread {

// Detects that this node's own watch of the store has not delivered a change
// that another node has announced. A watch delivers a change within
// milliseconds, unless its connection or the store has stopped responding.
//
// Load pattern: the store is unresponsive for a moment. Calls that were waiting
// at that time never get a response, while new calls do.
class MissedChangeDetector {
 public:
  // How long this node's own watch may take to deliver a change: after another
  // node has announced it, and after the current call was made, because the
  // store may be slow to respond.
  struct Timeouts {
    Duration after_announcement{};
    Duration after_call{};
  };

  explicit MissedChangeDetector(Timeouts timeouts) : timeouts_(timeouts) {}

  // Another node has announced the change with revision `revision`. Revisions
  // of a newer epoch replace those of older ones.
  void OnPeerRevision(uint64_t revision, Timestamp now, StoreEpoch epoch = {});
  uint64_t newest_peer_revision() const { return newest_peer_revision_; }
  // `known_revision`: this node's own watch has delivered all changes up to
  // this revision. `waiting_since`: when its current call was made; empty
  // between two calls, since the next call will deliver the change. A revision
  // of an older epoch than `known_epoch` says nothing; one of a newer epoch is
  // missed, whatever its number.
  bool IsMissed(uint64_t known_revision,
                std::optional<Timestamp> waiting_since,
                Timestamp now,
                StoreEpoch known_epoch = {}) const;

 private:
  Timeouts timeouts_;
  uint64_t newest_peer_revision_ = 0;
  StoreEpoch epoch_;
  Timestamp announced_at_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_MISSED_CHANGE_DETECTOR_H_
