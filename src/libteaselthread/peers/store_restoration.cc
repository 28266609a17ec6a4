#include "libteaselthread/peers/store_restoration.h"

namespace teaselthread {

bool StoreRestoration::OnEpoch(StoreEpoch epoch, Timestamp now) {
  const bool is_first = epoch && !epoch_;
  const bool is_restored = IsOlderEpoch(epoch_, epoch);
  if (!is_first && !is_restored)
    return false;
  epoch_ = epoch;
  if (!is_marked())
    complete_since_ = now + rewrite_time_;
  return is_restored;
}

void StoreRestoration::OnMarker(uint64_t epoch) {
  if (IsOlderEpoch(epoch, marker_))
    return;
  marker_ = epoch;
  if (is_marked())
    complete_since_ = Timestamp::min();
}

}  // namespace teaselthread
