#include "libteaselthread/peers/relayed_list_view.h"

#include <algorithm>
#include <utility>

namespace teaselthread {

void RelayedListView::OnConfirmed(Timestamp called_at) {
  informed_until_ = std::max(informed_until_, called_at + max_age_);
}

bool RelayedListView::OnList(uint64_t revision, StoreEpoch epoch) {
  if (IsOlderEpoch(epoch, epoch_))
    return false;
  const bool is_new_epoch = epoch && epoch != epoch_;
  if (revision < revision_ && !is_new_epoch)
    return false;
  if (is_new_epoch)
    epoch_ = epoch;
  revision_ = revision;
  changed_at_ = revision;
  return true;
}

bool RelayedListView::OnChanges(uint64_t from, uint64_t to, bool has_changes) {
  if (revision_ == 0 || from != revision_ || to <= revision_)
    return false;
  revision_ = to;
  if (has_changes)
    changed_at_ = to;
  return true;
}

std::optional<ChangeBatch> RelayedListView::OnRelayedPart(
    ChangeBatchPart part) {
  if (IsOtherEpoch(part.batch.epoch))
    return std::nullopt;
  std::optional<ChangeBatch> batch = assembler_.Add(std::move(part));
  if (!batch || !OnChanges(batch->from, batch->to, true))
    return std::nullopt;
  return batch;
}

void RelayedListView::OnLeaderStatus(const ListStatus& status, Timestamp now) {
  if (IsOtherEpoch(status.epoch))
    return;
  informed_until_ = std::max(informed_until_, now + max_age_ - status.age);
  const bool lacks_nothing = revision_ > 0 && revision_ >= status.changed_at;
  if (lacks_nothing)
    revision_ = std::max(revision_, status.complete_to);
}

}  // namespace teaselthread
