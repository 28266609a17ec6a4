#ifndef TEASELTHREAD_PEERS_STORE_CHANGES_H_
#define TEASELTHREAD_PEERS_STORE_CHANGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libteaselthread/endpoints/endpoint_record.h"
#include "libteaselthread/rollouts/rollout_order.h"

namespace teaselthread {

// The lists in the platform's store that nodes relay to each other.
enum class RelayedList : uint8_t { kEndpoints, kEvacuations, kRollouts };
inline constexpr size_t kRelayedListCount = 3;

// Which history of the store a revision belongs to. The store's epoch rises
// when it is restored from an older copy, after which it gives out revisions
// again. Empty if the store or the sender does not name it.
using StoreEpoch = std::optional<uint64_t>;

// Whether both epochs are known and `epoch` is the older one.
inline bool IsOlderEpoch(StoreEpoch epoch, StoreEpoch than) {
  return epoch && than && *epoch < *than;
}

// One object of a list that was created, changed or removed.
struct StoreChange {
  std::string name;  // the endpoint's id, the availability zone or the order
  bool removed = false;
  std::optional<EndpointRecord> endpoint;  // only in kEndpoints, if not removed
  std::optional<RolloutOrder> rollout =
      {};  // only in kRollouts, if not removed

  friend auto operator<=>(const StoreChange&, const StoreChange&) = default;
};

// All changes of a list after the store's revision `from`, up to `to`, in
// order. Whoever knows the list as of `from` knows it as of `to` once the batch
// has been applied.
struct ChangeBatch {
  uint64_t from = 0;
  uint64_t to = 0;
  std::vector<StoreChange> changes;
  StoreEpoch epoch = {};

  friend auto operator<=>(const ChangeBatch&, const ChangeBatch&) = default;
};

// A part of a batch that fits into one datagram.
struct ChangeBatchPart {
  ChangeBatch batch;  // with the changes of this part only
  uint32_t index = 0;
  uint32_t count = 1;

  friend auto operator<=>(const ChangeBatchPart&,
                          const ChangeBatchPart&) = default;
};

// What a node states about a list that it watches in the store.
struct ListStatus {
  uint64_t changed_at = 0;   // the list has not changed after this revision
  uint64_t complete_to = 0;  // ... up to this one
  Duration age{};            // time since the store confirmed that
  StoreEpoch epoch = {};     // of the revisions

  friend auto operator<=>(const ListStatus&, const ListStatus&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_STORE_CHANGES_H_
