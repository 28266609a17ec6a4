#include "teaselthread/gateway/buffer_quota.h"

#include <utility>

namespace teaselthread {
namespace {

// The share of the memory that the process uses at most. The rest is a margin
// for what the kernel keeps for its connections, and for fragmentation.
constexpr double kUsableShare = 0.7;
// What the process uses for everything but bodies.
constexpr size_t kBaseBytes = size_t{40} << 20;
constexpr size_t kMinLimit = size_t{8} << 20;

}  // namespace

BufferQuota::BufferQuota(size_t limit_bytes, std::function<Timestamp()> now)
    : state_(std::make_shared<State>(
          State{BufferShares(limit_bytes), std::move(now), {}})) {}

size_t BufferQuota::LimitFor(size_t memory_bytes) {
  const auto usable =
      static_cast<size_t>(kUsableShare * static_cast<double>(memory_bytes));
  return usable < kBaseBytes + kMinLimit ? kMinLimit : usable - kBaseBytes;
}

bool BufferQuota::MayFit(size_t bytes) const {
  return state_->shares.MayFit(bytes, state_->now());
}

BufferQuota::Reservation::Reservation(BufferQuota* quota)
    : state_(quota->state_),
      id_(state_->shares.Add("", false, state_->now())) {}

BufferQuota::Reservation::Reservation(BufferQuota* quota,
                                      std::string caller,
                                      std::function<void()> on_reclaimed)
    : state_(quota->state_),
      id_(state_->shares.Add(std::move(caller), true, state_->now())) {
  state_->on_reclaimed.emplace(id_, std::move(on_reclaimed));
}

BufferQuota::Reservation::~Reservation() {
  state_->shares.Remove(id_);
  state_->on_reclaimed.erase(id_);
}

bool BufferQuota::Reservation::Grow(size_t bytes) {
  const BufferShares::GrowResult result =
      state_->shares.Grow(id_, bytes, state_->now());
  for (const BufferShares::HolderId id : result.reclaimed) {
    const auto reclaimed = state_->on_reclaimed.extract(id);
    if (!reclaimed.empty())
      reclaimed.mapped()();
  }
  return result.granted;
}

bool BufferQuota::Reservation::GrowTo(size_t total_bytes) {
  const size_t held = state_->shares.HeldBy(id_);
  return total_bytes <= held || Grow(total_bytes - held);
}

void BufferQuota::Reservation::ShrinkTo(size_t total_bytes) {
  const size_t held = state_->shares.HeldBy(id_);
  if (total_bytes < held)
    state_->shares.Shrink(id_, held - total_bytes);
}

void BufferQuota::Reservation::OnProgress(size_t bytes) {
  state_->shares.OnProgress(id_, bytes, state_->now());
}

void BufferQuota::Reservation::SetCaller(std::string caller) {
  state_->shares.SetCaller(id_, std::move(caller));
}

void BufferQuota::Reservation::SetExpected(size_t bytes) {
  state_->shares.SetExpected(id_, bytes);
}

void BufferQuota::Reservation::Pin() {
  state_->shares.Pin(id_);
}

}  // namespace teaselthread
