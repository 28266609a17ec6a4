#ifndef TEASELTHREAD_PEERS_STORE_RESTORATION_H_
#define TEASELTHREAD_PEERS_STORE_RESTORATION_H_

#include "libteaselthread/peers/store_changes.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Whether the platform's store may lack objects that it has acknowledged. It
// loses them when it is restored from an older copy, and gets them again within
// the rewrite time, as endpoints register again and operators and nodes write
// again.
//
// A node that has just started cannot tell when the store's epoch began. The
// store has a marker for that: it names the latest epoch of which a node knew
// that the rewrite time was over.
class StoreRestoration {
 public:
  explicit StoreRestoration(Duration rewrite_time)
      : rewrite_time_(rewrite_time) {}

  // A response of the store names `epoch`. Returns whether the store was
  // restored since this node knew it.
  bool OnEpoch(StoreEpoch epoch, Timestamp now);
  // The store's marker names `epoch`.
  void OnMarker(uint64_t epoch);

  // Empty if the store names none.
  StoreEpoch epoch() const { return epoch_; }
  // Whether the marker is known to name the store's epoch.
  bool is_marked() const { return epoch_ && marker_ == epoch_; }
  // From when on the store lacks nothing. The start of time if it was not
  // restored, as far as its epochs and the marker show.
  Timestamp complete_since() const { return complete_since_; }
  bool MayLackObjects(Timestamp now) const { return now < complete_since_; }

 private:
  Duration rewrite_time_;
  StoreEpoch epoch_;
  StoreEpoch marker_;
  Timestamp complete_since_ = Timestamp::min();
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_STORE_RESTORATION_H_
