#ifndef TEASELTHREAD_PEERS_RELAYED_LIST_VIEW_H_
#define TEASELTHREAD_PEERS_RELAYED_LIST_VIEW_H_

#include "libteaselthread/peers/change_assembler.h"

namespace teaselthread {

// Up to which revision this node knows one list of the store, and whether the
// zone leader, which watches the list, keeps it informed. As long as it does,
// this node makes no calls of its own. A node that has missed a batch finds
// that out from the leader's status and asks the store.
//
// Load pattern: hundreds of nodes while a release, a scale-out or an evacuation
// changes the list several times a second.
class RelayedListView {
 public:
  // `max_age`: time from a response of the store to the leader until this node
  // must watch the list itself.
  explicit RelayedListView(Duration max_age) : max_age_(max_age) {}

  // Zero until the list has been read.
  uint64_t revision() const { return revision_; }
  // Of `revision`; empty until the store has named it.
  StoreEpoch epoch() const { return epoch_; }
  // The whole list was read as of `revision`. Returns false, and changes
  // nothing, if a later state is known. In a newer epoch, that is none.
  bool OnList(uint64_t revision, StoreEpoch epoch = {});
  // The store has responded to a call that this node made at `called_at`. This
  // informs the node like a status of the leader, which may take some time to
  // find this node after its start.
  void OnConfirmed(Timestamp called_at);
  // All changes after `from`, up to `to`, have been received; `has_changes`:
  // there are some. Returns false, and changes nothing, unless `from` is
  // revision(): otherwise some are missing, or have already been applied and
  // must not be applied again, as that would bring back what has been removed
  // since. The changes must be applied if it returns true.
  bool OnChanges(uint64_t from, uint64_t to, bool has_changes);
  // Adds a part of a batch that another node relays. Returns the batch if it is
  // complete and must be applied. Batches and statuses of other epochs than
  // this node's are ignored; those that name none are taken to be of its own.
  std::optional<ChangeBatch> OnRelayedPart(ChangeBatchPart part);
  // The status of a node of this availability zone that watches the list.
  void OnLeaderStatus(const ListStatus& status, Timestamp now);

  // What this node states as the zone leader, `age` after the store's response.
  ListStatus StatusAt(Duration age) const {
    return {changed_at_, revision_, age, epoch_};
  }
  // Whether the leader informs this node of changes. Revisions that this node
  // has missed are not considered.
  bool IsInformed(Timestamp now) const {
    return revision_ > 0 && now < informed_until_;
  }

 private:
  bool IsOtherEpoch(StoreEpoch epoch) const {
    return epoch && epoch_ && epoch != epoch_;
  }

  Duration max_age_;
  uint64_t revision_ = 0;
  StoreEpoch epoch_;
  uint64_t changed_at_ = 0;
  Timestamp informed_until_{};
  ChangeAssembler assembler_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_RELAYED_LIST_VIEW_H_
