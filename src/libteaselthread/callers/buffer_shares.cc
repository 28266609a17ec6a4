#include "libteaselthread/callers/buffer_shares.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace teaselthread {
namespace {

constexpr size_t kSlowCallerDivisor = 4;

}  // namespace

BufferShares::HolderId BufferShares::Add(std::string caller,
                                         bool is_reclaimable,
                                         Timestamp now) {
  holders_.emplace(++last_id_, Holder{std::move(caller), is_reclaimable, now,
                                      RecentProgress(now)});
  return last_id_;
}

void BufferShares::SetCaller(HolderId id, std::string caller) {
  const auto found = holders_.find(id);
  if (found == holders_.end())
    return;
  const size_t bytes = found->second.bytes;
  Shrink(id, bytes);
  found->second.caller = std::move(caller);
  if (bytes == 0)
    return;
  found->second.bytes = bytes;
  used_ += bytes;
  bytes_by_caller_[found->second.caller] += bytes;
}

void BufferShares::SetExpected(HolderId id, size_t bytes) {
  const auto found = holders_.find(id);
  if (found != holders_.end())
    found->second.expected = bytes;
}

void BufferShares::Remove(HolderId id) {
  const auto found = holders_.find(id);
  if (found == holders_.end())
    return;
  Shrink(id, found->second.bytes);
  holders_.erase(found);
}

BufferShares::GrowResult BufferShares::Grow(HolderId id,
                                            size_t bytes,
                                            Timestamp now) {
  const auto found = holders_.find(id);
  if (found == holders_.end())
    return {};
  Holder& holder = found->second;
  if (holder.bytes == 0)
    holder.since = now;
  const bool is_slow = holder.is_reclaimable && IsSlow(holder, now);
  if (is_slow && ExceedsSlowShare(holder.caller, bytes, now))
    return {};
  GrowResult result;
  const size_t limit = LimitFor(holder, bytes, now);
  if (used_ + bytes > limit) {
    if (!is_slow)
      result.reclaimed = Choose(id, used_ + bytes - limit, now);
    if (result.reclaimed.empty())
      return result;
    for (const HolderId reclaimed : result.reclaimed)
      Remove(reclaimed);
  }
  holder.bytes += bytes;
  used_ += bytes;
  bytes_by_caller_[holder.caller] += bytes;
  result.granted = true;
  return result;
}

void BufferShares::Shrink(HolderId id, size_t bytes) {
  const auto found = holders_.find(id);
  if (found == holders_.end())
    return;
  Holder& holder = found->second;
  bytes = std::min(bytes, holder.bytes);
  holder.bytes -= bytes;
  used_ -= bytes;
  const auto by_caller = bytes_by_caller_.find(holder.caller);
  if (by_caller == bytes_by_caller_.end())
    return;
  by_caller->second -= bytes;
  if (by_caller->second == 0)
    bytes_by_caller_.erase(by_caller);
}

void BufferShares::OnProgress(HolderId id, size_t bytes, Timestamp now) {
  const auto found = holders_.find(id);
  if (found != holders_.end())
    found->second.progress.Add(bytes, now);
}

void BufferShares::Pin(HolderId id) {
  const auto found = holders_.find(id);
  if (found != holders_.end())
    found->second.is_reclaimable = false;
}

bool BufferShares::MayFit(size_t bytes, Timestamp now) {
  if (used_ + bytes <= limit_ - reserve())
    return true;
  size_t kept = 0;
  for (auto& [id, holder] : holders_) {
    if (!holder.is_reclaimable || !IsSlow(holder, now))
      kept += holder.bytes;
  }
  const bool uses_reserve = bytes <= kSmallBytes || kept == 0;
  return kept + bytes <= (uses_reserve ? limit_ : limit_ - reserve());
}

size_t BufferShares::HeldBy(HolderId id) const {
  const auto found = holders_.find(id);
  return found == holders_.end() ? 0 : found->second.bytes;
}

bool BufferShares::IsSlow(Holder& holder, Timestamp now) {
  return now - holder.since >= RecentProgress::kWindow &&
         holder.progress.Bytes(now) < kSlowBytes;
}

bool BufferShares::IsSmallAndFast(const Holder& holder,
                                  size_t bytes,
                                  Timestamp now) {
  const size_t most = holder.expected ? kSmallBytes : kSmallBytesInChunks;
  return std::max(holder.bytes + bytes, holder.expected.value_or(0)) <= most &&
         (!holder.is_reclaimable || now - holder.since < kFastTime);
}

size_t BufferShares::LimitFor(const Holder& holder,
                              size_t bytes,
                              Timestamp now) const {
  // The only holder gets everything, so that a body of the maximum size also
  // fits on the smallest machines.
  const bool is_only_one = used_ == holder.bytes;
  return is_only_one || IsSmallAndFast(holder, bytes, now) ? limit_
                                                           : limit_ - reserve();
}

bool BufferShares::ExceedsSlowShare(const std::string& caller,
                                    size_t more_bytes,
                                    Timestamp now) {
  const size_t share = limit_ / kSlowCallerDivisor;
  const auto total = bytes_by_caller_.find(caller);
  const size_t held = total == bytes_by_caller_.end() ? 0 : total->second;
  if (held + more_bytes <= share)
    return false;
  size_t slow_bytes = 0;
  for (auto& [id, holder] : holders_) {
    if (holder.is_reclaimable && holder.caller == caller && IsSlow(holder, now))
      slow_bytes += holder.bytes;
  }
  return slow_bytes + more_bytes > share;
}

std::vector<BufferShares::HolderId> BufferShares::Choose(HolderId except,
                                                         size_t needed,
                                                         Timestamp now) {
  struct Candidate {
    size_t progress;
    size_t held_by_caller;
    size_t bytes;
    HolderId id;
  };
  std::vector<Candidate> candidates;
  for (auto& [id, holder] : holders_) {
    if (id == except || !holder.is_reclaimable || holder.bytes == 0 ||
        !IsSlow(holder, now)) {
      continue;
    }
    candidates.push_back({holder.progress.Bytes(now),
                          bytes_by_caller_[holder.caller], holder.bytes, id});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.progress, b.held_by_caller, b.bytes, a.id) <
                     std::tie(b.progress, a.held_by_caller, a.bytes, b.id);
            });
  std::vector<HolderId> chosen;
  size_t sum = 0;
  for (const Candidate& candidate : candidates) {
    if (sum >= needed)
      break;
    chosen.push_back(candidate.id);
    sum += candidate.bytes;
  }
  return sum >= needed ? chosen : std::vector<HolderId>();
}

}  // namespace teaselthread
