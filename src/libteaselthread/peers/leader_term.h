#ifndef TEASELTHREAD_PEERS_LEADER_TERM_H_
#define TEASELTHREAD_PEERS_LEADER_TERM_H_

#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Whether a node has been the leader of its availability zone long enough to
// write for it. Each node takes itself for the leader until it hears of the
// others.
class LeaderTerm {
 public:
  bool IsFirm(bool is_leader, Timestamp now) {
    if (!is_leader) {
      began_at_.reset();
      return false;
    }
    began_at_ = began_at_.value_or(now);
    return now - *began_at_ >= kMinTime;
  }

 private:
  // Longer than two heartbeats.
  static constexpr Duration kMinTime = std::chrono::milliseconds(1'000);

  std::optional<Timestamp> began_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_LEADER_TERM_H_
