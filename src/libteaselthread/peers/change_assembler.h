#ifndef TEASELTHREAD_PEERS_CHANGE_ASSEMBLER_H_
#define TEASELTHREAD_PEERS_CHANGE_ASSEMBLER_H_

#include <optional>
#include <vector>

#include "libteaselthread/peers/store_changes.h"

namespace teaselthread {

// Divides a batch into parts that fit into datagrams.
std::vector<ChangeBatchPart> SplitIntoParts(const ChangeBatch& batch);

// Puts together a batch whose parts arrive in any order, some of them twice or
// not at all. Keeps the parts of one batch only: a batch that was never
// completed shows as a gap in the revisions.
//
// Load pattern: datagrams that get lost or overtake each other while a release
// replaces many endpoints.
class ChangeAssembler {
 public:
  // Returns the batch that `part` completes.
  std::optional<ChangeBatch> Add(ChangeBatchPart part);

 private:
  uint64_t from_ = 0;
  uint64_t to_ = 0;
  StoreEpoch epoch_;
  std::vector<std::optional<ChangeBatchPart>> parts_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_CHANGE_ASSEMBLER_H_
