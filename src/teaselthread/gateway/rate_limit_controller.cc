#include "teaselthread/gateway/rate_limit_controller.h"

#include <algorithm>

namespace teaselthread {
namespace {

constexpr Duration kChangesInterval = std::chrono::milliseconds(100);
constexpr Duration kRefreshInterval = std::chrono::milliseconds(2'000);
// A change reaches a zone of 100 gateways in three steps.
constexpr size_t kChangeReceivers = 6;
constexpr size_t kRefreshReceivers = 3;
// A process that has not run for so long was frozen. It then reads what had
// arrived meanwhile.
constexpr Duration kFreezeTime = std::chrono::milliseconds(1'000);
constexpr Duration kReadTime = std::chrono::milliseconds(500);
// About this many gateways tell a new one of the limits.
constexpr size_t kNewPeerSenders = 6;

}  // namespace

void RateLimitController::Start() {
  last_changes_at_ = GatewayState::BootNow();
  heartbeat_->set_on_rate_limits(
      [this](const std::vector<RateLimitUpdate>& updates) {
        OnUpdates(updates);
      });
  heartbeat_->set_on_new_peer(
      [this](const SocketAddress& peer) { OnNewPeer(peer); });
  TimerService& timers = state_->timers();
  timers.Subscribe(kChangesInterval, state_->Now(),
                   [this](Timestamp) { SendChanges(); });
  timers.Subscribe(kRefreshInterval, state_->Now(),
                   [this](Timestamp) { Refresh(); });
}

void RateLimitController::SendChanges() {
  const Timestamp now = state_->Now();
  const Timestamp boot_now = GatewayState::BootNow();
  if (boot_now - last_changes_at_ > kFreezeTime)
    ignores_until_ = boot_now + kReadTime;
  last_changes_at_ = boot_now;
  RateLimitTable& limits = state_->endpoints().rate_limits();
  limits.SetNodes(state_->settings().name(),
                  state_->peers().NodesSharingLimits(now));
  const RateLimitNews news = limits.TakeChanges(now);
  if (!news.for_zone.empty())
    heartbeat_->SendRateLimits(news.for_zone,
                               RandomZonePeers(kChangeReceivers));
  if (!news.for_other_zones.empty())
    heartbeat_->SendRateLimits(news.for_other_zones,
                               state_->peers().RemoteTargets(now));
}

void RateLimitController::Refresh() {
  const Timestamp now = state_->Now();
  const std::vector<RateLimitUpdate> updates =
      state_->endpoints().rate_limits().TakeForRefresh(now);
  if (updates.empty())
    return;
  heartbeat_->SendRateLimits(updates, RandomZonePeers(kRefreshReceivers));
  if (state_->peers().IsZoneLeader(now))
    heartbeat_->SendRateLimits(updates, state_->peers().RemoteTargets(now));
}

void RateLimitController::OnUpdates(
    const std::vector<RateLimitUpdate>& updates) {
  const Timestamp now = state_->Now();
  const Timestamp boot_now = GatewayState::BootNow();
  if (boot_now < ignores_until_ || boot_now - last_changes_at_ > kFreezeTime)
    return;
  for (const RateLimitUpdate& update : updates) {
    const auto [change, endpoint] =
        state_->endpoints().OnRateLimitUpdate(update, now);
    if (change != RateLimitChange::kNone)
      state_->OnRateLimitChange(endpoint->record(), change, "");
  }
}

void RateLimitController::OnNewPeer(const SocketAddress& peer) {
  const Timestamp now = state_->Now();
  const size_t zone_peers = state_->peers().ZoneTargets(now).size();
  std::uniform_int_distribution<size_t> pick(
      0, std::max<size_t>(1, zone_peers) - 1);
  if (pick(state_->random()) >= kNewPeerSenders)
    return;
  const std::vector<RateLimitUpdate> all =
      state_->endpoints().rate_limits().All(now);
  for (size_t i = 0; i < all.size(); i += RateLimitTable::kMaxUpdates) {
    const size_t end = std::min(all.size(), i + RateLimitTable::kMaxUpdates);
    heartbeat_->SendRateLimits({all.begin() + static_cast<ptrdiff_t>(i),
                                all.begin() + static_cast<ptrdiff_t>(end)},
                               {peer});
  }
}

std::vector<SocketAddress> RateLimitController::RandomZonePeers(
    size_t count) const {
  std::vector<SocketAddress> peers = state_->peers().ZoneTargets(state_->Now());
  std::shuffle(peers.begin(), peers.end(), state_->random());
  peers.resize(std::min(count, peers.size()));
  return peers;
}

}  // namespace teaselthread
