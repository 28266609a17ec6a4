#include "teaselthread/store/list_controller.h"

#include <utility>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// A change normally arrives within this time after it was announced.
constexpr Duration kDeliveryTime = milliseconds(200);
// The store may be slow to respond.
constexpr Duration kMinCallTime = milliseconds(800);
// Longer than a call takes to fail, which shows that further ones are useless.
constexpr Duration kConfirmationTimeout = milliseconds(1'000);
// A call in progress may be older than the caller of Confirm wants it, and end
// before it can be replaced.
constexpr int kMaxConfirmationCalls = 3;

}  // namespace

ListController::ListController(GatewayState* state,
                               RelayedList list,
                               StoreKind kind,
                               Timing timing,
                               Handlers handlers)
    : state_(state),
      list_(list),
      timing_(timing),
      handlers_(std::move(handlers)),
      missed_by_watch_({kDeliveryTime, kMinCallTime}),
      missed_by_leader_({timing.batch_delay + kDeliveryTime, Duration::zero()}),
      missed_relay_({kDeliveryTime, Duration::zero()}),
      confirmation_ended_(state->io()),
      watcher_(
          state,
          kind,
          timing.max_status_age,
          [this] { return ChoosePollTiming(); },
          MakeCallbacks()) {}

StoreWatcher::Callbacks ListController::MakeCallbacks() {
  return {[this](const StoreUpdate& update) { OnList(update); },
          [this](const StoreUpdate& update) { OnChanges(update); },
          [this](bool reachable) {
            EndConfirmation();
            handlers_.on_reachability_changed(reachable);
          },
          handlers_.on_restored};
}

StoreWatcher::PollTiming ListController::ChoosePollTiming() const {
  const bool is_leader = IsLeader();
  const StoreWatcher::BackoffLimits backoff =
      is_leader ? StoreWatcher::kLeaderBackoff : StoreWatcher::kFollowerBackoff;
  if (is_confirming_ || (probe_pending_ && !is_leader))
    return {StoreWatcher::kProbeWait, Duration::zero(), backoff};
  if (is_leader)
    return {timing_.leader_wait, timing_.batch_delay, backoff};
  const bool is_informed = watcher_.view().IsInformed(state_->Now());
  return {StoreWatcher::kLongWait, timing_.batch_delay, backoff, is_informed};
}

void ListController::OnPeerRevision(uint64_t revision, StoreEpoch epoch) {
  missed_by_watch_.OnPeerRevision(revision, state_->Now(), epoch);
  missed_by_leader_.OnPeerRevision(revision, state_->Now(), epoch);
}

void ListController::OnLeaderStatus(const ListStatus& status) {
  const Timestamp now = state_->Now();
  missed_by_watch_.OnPeerRevision(status.changed_at, now, status.epoch);
  missed_relay_.OnPeerRevision(status.changed_at, now, status.epoch);
  watcher_.view().OnLeaderStatus(status, now);
}

void ListController::OnRelayedPart(ChangeBatchPart part) {
  if (const auto batch = watcher_.view().OnRelayedPart(std::move(part)))
    handlers_.apply(batch->changes);
}

void ListController::Check() {
  const bool must_watch =
      IsLeader() || !watcher_.view().IsInformed(state_->Now());
  if (must_watch)
    watcher_.Resume();
  // A new zone leader does not wait for the end of the long call that it made
  // before, because that call confirms nothing for the zone.
  const bool call_is_too_long = watcher_.waiting_since() &&
                                !watcher_.is_suspended() &&
                                watcher_.call_wait() > timing_.leader_wait;
  if (IsLeader() && call_is_too_long)
    watcher_.Reconnect();
  const bool retries_anyway =
      watcher_.is_unreachable() && !watcher_.is_suspended();
  if (retries_anyway || !HasMissedChange())
    return;
  LogLine line("change-missed");
  line.Add("kind", ToString(watcher_.kind()))
      .Add("known", watcher_.revision())
      .Add("heard", missed_by_watch_.newest_peer_revision())
      .Add("suspended", watcher_.is_suspended());
  state_->log().Info(line);
  probe_pending_ = true;
  watcher_.CallNow();
}

bool ListController::HasMissedChange() const {
  const auto is_missed_by = [&](const MissedChangeDetector& detector) {
    return detector.IsMissed(watcher_.revision(), watcher_.waiting_since(),
                             state_->Now(), watcher_.epoch());
  };
  if (!watcher_.is_suspended())
    return is_missed_by(missed_by_watch_);
  return is_missed_by(missed_by_leader_) || is_missed_by(missed_relay_);
}

asio::awaitable<bool> ListController::Confirm(Duration max_age) {
  const Timestamp since = GatewayState::BootNow() - max_age;
  const auto is_confirmed = [&] { return watcher_.confirmed_at() >= since; };
  for (int call = 0; call < kMaxConfirmationCalls && !is_confirmed(); ++call) {
    if (watcher_.is_unreachable())
      co_return false;
    if (!is_confirming_) {
      is_confirming_ = true;
      confirmation_ended_.expires_after(kConfirmationTimeout);
      watcher_.CallNow();
    }
    auto [cancelled] = co_await confirmation_ended_.async_wait(kAsTuple);
    const bool has_expired = !cancelled;
    if (has_expired) {
      is_confirming_ = false;
      co_return is_confirmed();
    }
  }
  co_return is_confirmed();
}

void ListController::EndConfirmation() {
  is_confirming_ = false;
  confirmation_ended_.cancel();
}

std::optional<ListStatus> ListController::StatusToShare() const {
  const auto confirmed_at = watcher_.confirmed_at();
  if (!confirmed_at || watcher_.is_unreachable() || !IsLeader())
    return std::nullopt;
  return watcher_.view().StatusAt(GatewayState::BootNow() - *confirmed_at);
}

void ListController::OnList(const StoreUpdate& update) {
  handlers_.replace_all(Decode(update.objects));
  EndConfirmation();
}

void ListController::OnChanges(const StoreUpdate& update) {
  probe_pending_ = false;
  EndConfirmation();
  if (update.objects.empty())
    return;
  ChangeBatch batch{update.from, update.to, Decode(update.objects),
                    watcher_.epoch()};
  handlers_.apply(batch.changes);
  if (IsLeader() && on_batch_)
    on_batch_(list_, batch);
}

ListController::Changes ListController::Decode(
    const std::vector<StoreObject>& objects) const {
  Changes changes;
  for (const StoreObject& object : objects)
    changes.push_back(handlers_.decode(object));
  return changes;
}

}  // namespace teaselthread
