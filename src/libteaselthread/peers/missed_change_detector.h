#ifndef TEASELTHREAD_PEERS_MISSED_CHANGE_DETECTOR_H_
#define TEASELTHREAD_PEERS_MISSED_CHANGE_DETECTOR_H_

#include <cstdint>
#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Tells whether this node's own watch of the store has missed a change that
// another node has told of. A watch brings a change within milliseconds, unless
// its connection or the store has gone silent.
//
// Load pattern: the store answers nothing for a moment, and calls that were
// waiting then are never answered, while new ones are.
class MissedChangeDetector {
 public:
  // How long the own watch may take to bring a change: since another node has
  // told of it, and since the present call was made, which the store may be
  // slow to answer.
  struct Timeouts {
    Duration after_announcement{};
    Duration after_call{};
  };

  explicit MissedChangeDetector(Timeouts timeouts) : timeouts_(timeouts) {}

  // Another node knows of the change with that number.
  void OnPeerRevision(uint64_t change, Timestamp now);
  uint64_t newest_peer_revision() const { return newest_peer_revision_; }
  // `known`: the number up to which the own watch has told of all changes.
  // `waiting_since`: when its present call was made; none between two calls,
  // as the next one will tell.
  bool IsMissed(uint64_t known,
                std::optional<Timestamp> waiting_since,
                Timestamp now) const;

 private:
  Timeouts timeouts_;
  uint64_t newest_peer_revision_ = 0;
  Timestamp heard_at_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_MISSED_CHANGE_DETECTOR_H_
