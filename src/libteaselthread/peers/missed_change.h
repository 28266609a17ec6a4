#ifndef TEASELTHREAD_PEERS_MISSED_CHANGE_H_
#define TEASELTHREAD_PEERS_MISSED_CHANGE_H_

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
class MissedChange {
 public:
  // How long the own watch may take to bring a change: since another node has
  // told of it, and since the present call was made, which the store may be
  // slow to answer.
  struct Patience {
    Duration since_heard{};
    Duration since_call{};
  };

  explicit MissedChange(Patience patience) : patience_(patience) {}

  // Another node knows of the change with that number.
  void OnHeard(uint64_t change, Timestamp now);
  uint64_t newest_heard() const { return newest_heard_; }
  // `known`: the number up to which the own watch has told of all changes.
  // `waiting_since`: when its present call was made; none between two calls,
  // as the next one will tell.
  bool IsMissed(uint64_t known,
                std::optional<Timestamp> waiting_since,
                Timestamp now) const;

 private:
  Patience patience_;
  uint64_t newest_heard_ = 0;
  Timestamp heard_at_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_MISSED_CHANGE_H_
