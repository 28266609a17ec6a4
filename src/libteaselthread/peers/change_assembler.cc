#include "libteaselthread/peers/change_assembler.h"

#include <algorithm>
#include <utility>

namespace teaselthread {
namespace {

// About 1,000 bytes of endpoint records.
constexpr size_t kMaxChangesPerPart = 8;
// More parts than a list of 10,000 endpoints has.
constexpr uint32_t kMaxParts = 1'250;

}  // namespace

std::vector<ChangeBatchPart> SplitIntoParts(const ChangeBatch& batch) {
  const size_t count = std::max<size_t>(
      1, (batch.changes.size() + kMaxChangesPerPart - 1) / kMaxChangesPerPart);
  std::vector<ChangeBatchPart> parts(count);
  for (size_t i = 0; i < count; ++i) {
    parts[i].batch.from = batch.from;
    parts[i].batch.to = batch.to;
    parts[i].batch.epoch = batch.epoch;
    parts[i].index = static_cast<uint32_t>(i);
    parts[i].count = static_cast<uint32_t>(count);
  }
  for (size_t i = 0; i < batch.changes.size(); ++i)
    parts[i / kMaxChangesPerPart].batch.changes.push_back(batch.changes[i]);
  return parts;
}

std::optional<ChangeBatch> ChangeAssembler::Add(ChangeBatchPart part) {
  if (part.count == 0 || part.count > kMaxParts || part.index >= part.count)
    return std::nullopt;
  const bool is_other_batch =
      part.batch.from != from_ || part.batch.to != to_ ||
      part.batch.epoch != epoch_ || part.count != parts_.size();
  if (is_other_batch) {
    from_ = part.batch.from;
    to_ = part.batch.to;
    epoch_ = part.batch.epoch;
    parts_.assign(part.count, std::nullopt);
  }
  const uint32_t index = part.index;
  parts_[index] = std::move(part);
  const bool is_complete =
      std::all_of(parts_.begin(), parts_.end(),
                  [](const auto& kept) { return kept.has_value(); });
  if (!is_complete)
    return std::nullopt;
  ChangeBatch batch{from_, to_, {}, epoch_};
  for (auto& kept : parts_) {
    for (StoreChange& change : kept->batch.changes)
      batch.changes.push_back(std::move(change));
  }
  parts_.clear();
  return batch;
}

}  // namespace teaselthread
