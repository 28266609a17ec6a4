#include "teaselthread/store/store_controller.h"

#include <algorithm>
#include <utility>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// How long a watch of the configuration waits on the zone leader, and on a
// gateway without a configuration. Each response to the leader confirms the
// configuration for its whole availability zone, so the wait is well below the
// revocation bound.
constexpr Duration kShortWait = milliseconds(600);
// Shares of the drain bound. A change reaches the other gateways of the zone
// within the pause that batches changes, a heartbeat and a call of their own if
// the relayed batch was lost; and within the age of the leader's status and a
// call if the leader is lost.
constexpr double kLeaderWaitShare = 0.25;
constexpr double kBatchDelayShare = 0.12;
constexpr double kMaxLeaderStatusShare = 0.68;
// New versions of the configuration come seldom, but sometimes in series. After
// one of them, the next call is delayed by this share of the drain bound.
constexpr double kConfigurationBatchShare = 0.2;
constexpr Duration kCheckInterval = milliseconds(200);

}  // namespace

StoreController::StoreController(GatewayState* state)
    : state_(state),
      removal_grace_period_(state->settings().limits().contact_bound),
      call_jitter_(
          std::uniform_real_distribution<double>(0, 1)(state->random())),
      confirmation_(state),
      configuration_(
          state,
          StoreKind::kConfiguration,
          Duration::zero(),
          [this] { return ConfigurationPollTiming(); },
          {[this](const StoreUpdate& update) { OnConfigurationUpdate(update); },
           [this](const StoreUpdate& update) { OnConfigurationUpdate(update); },
           ReachabilityHandler(StoreKind::kConfiguration)}),
      endpoints_(state,
                 RelayedList::kEndpoints,
                 StoreKind::kEndpoints,
                 ListTiming(),
                 EndpointHandlers()),
      evacuations_(state,
                   RelayedList::kEvacuations,
                   StoreKind::kEvacuations,
                   ListTiming(),
                   EvacuationHandlers()) {
  if (!state->rollouts().enabled())
    return;
  rollouts_ = std::make_unique<ListController>(state, RelayedList::kRollouts,
                                               StoreKind::kRollouts,
                                               ListTiming(), RolloutHandlers());
}

ListController* StoreController::ControllerOf(RelayedList list) {
  switch (list) {
    case RelayedList::kEndpoints:
      return &endpoints_;
    case RelayedList::kEvacuations:
      return &evacuations_;
    case RelayedList::kRollouts:
      break;
  }
  return rollouts_.get();
}

std::function<void(bool)> StoreController::ReachabilityHandler(StoreKind kind) {
  return
      [this, kind](bool reachable) { OnReachabilityChanged(kind, reachable); };
}

ListController::Handlers StoreController::EndpointHandlers() {
  return {[this](const StoreObject& object) { return DecodeEndpoint(object); },
          [this](const Changes& endpoints) { ReplaceEndpoints(endpoints); },
          [this](const Changes& changes) { ApplyEndpointChanges(changes); },
          ReachabilityHandler(StoreKind::kEndpoints)};
}

ListController::Handlers StoreController::EvacuationHandlers() {
  return {[](const StoreObject& object) {
            return StoreChange{object.name, object.removed, std::nullopt};
          },
          [this](const Changes& zones) { ReplaceEvacuations(zones); },
          [this](const Changes& changes) { ApplyEvacuationChanges(changes); },
          ReachabilityHandler(StoreKind::kEvacuations)};
}

ListController::Handlers StoreController::RolloutHandlers() {
  return {[this](const StoreObject& object) { return DecodeRollout(object); },
          [this](const Changes& orders) { ReplaceRollouts(orders); },
          [this](const Changes& changes) { ApplyRolloutChanges(changes); },
          ReachabilityHandler(StoreKind::kRollouts),
          [this](StoreEpoch) { state_->rollouts().OnStoreRestored(); }};
}

ListController::Timing StoreController::ListTiming() const {
  return {DrainBoundShare(kLeaderWaitShare), DrainBoundShare(kBatchDelayShare),
          DrainBoundShare(kMaxLeaderStatusShare)};
}

void StoreController::set_on_batch(
    const ListController::BatchCallback& on_batch) {
  endpoints_.set_on_batch(on_batch);
  evacuations_.set_on_batch(on_batch);
  if (rollouts_)
    rollouts_->set_on_batch(on_batch);
}

void StoreController::Start() {
  state_->set_on_store_restored([this] { OnStoreRestored(); });
  configuration_.Start();
  endpoints_.Start();
  evacuations_.Start();
  if (rollouts_)
    rollouts_->Start();
  state_->timers().Subscribe(kCheckInterval, state_->Now(),
                             [this](Timestamp now) {
                               state_->endpoints().Sweep(now);
                               EndForgottenEvacuations(now);
                               state_->UpdateVersionHistory();
                               if (confirmation_.ConfirmByEarlierResponse())
                                 OnConfigurationConfirmed();
                               CheckConfiguration();
                               if (configuration_.is_unreachable())
                                 return;
                               endpoints_.Check();
                               evacuations_.Check();
                               if (rollouts_)
                                 rollouts_->Check();
                             });
}

Duration StoreController::MaxUnconfirmedAge() const {
  const GatewayLimits& limits = state_->settings().limits();
  return ConfigurationFreshness::MaxUnconfirmedAge(
      limits.configuration_bound, limits.revocation_bound, call_jitter_);
}

// A gateway that is not the zone leader makes calls only if a peer has
// announced a newer version, or if the peers have not confirmed its own one
// recently.
StoreWatcher::PollTiming StoreController::ConfigurationPollTiming() const {
  const auto age =
      state_->configuration_freshness().Age(GatewayState::BootNow());
  const Duration batch_delay = DrainBoundShare(kConfigurationBatchShare);
  const bool is_newest = state_->routes() && !is_configuration_unreadable_ &&
                         !confirmation_.KnowsOfNewer();
  if (state_->peers().IsZoneLeader(state_->Now()))
    return {kShortWait, batch_delay, StoreWatcher::kLeaderBackoff};
  if (!age || !is_newest)
    return {kShortWait, batch_delay, StoreWatcher::kFollowerBackoff};
  const bool needs_no_call =
      *age <= MaxUnconfirmedAge() && !configuration_.is_unreachable();
  return {StoreWatcher::kProbeWait, batch_delay, StoreWatcher::kFollowerBackoff,
          needs_no_call};
}

Duration StoreController::DrainBoundShare(double share) const {
  const Duration bound = state_->settings().limits().drain_bound;
  return std::chrono::duration_cast<Duration>(bound * share);
}

void StoreController::CheckConfiguration() {
  if (!ConfigurationPollTiming().is_suspended)
    configuration_.Resume();
  const auto age =
      state_->configuration_freshness().Age(GatewayState::BootNow());
  if (!age || !state_->routes() || configuration_.is_unreachable())
    return;
  const bool is_unconfirmed = *age > MaxUnconfirmedAge() && !age_check_pending_;
  const auto waiting_since = configuration_.waiting_since();
  const bool is_missed = confirmation_.IsMissed(waiting_since);
  if (is_missed) {
    LogLine line("change-missed");
    line.Add("kind", ToString(StoreKind::kConfiguration))
        .Add("known", state_->routes()->version())
        .Add("heard", confirmation_.newest_peer_version())
        .AddTime("waiting", state_->Now() - *waiting_since);
    state_->log().Info(line);
  }
  if (!is_unconfirmed && !is_missed)
    return;
  age_check_pending_ = true;
  configuration_.Reconnect();
}

void StoreController::OnPeerStatus(const PeerStatus& status) {
  for (size_t i = 0; i < kRelayedListCount; ++i) {
    ListController* list = ControllerOf(static_cast<RelayedList>(i));
    if (status.lists[i] && list)
      list->OnLeaderStatus(*status.lists[i]);
  }
  if (confirmation_.OnPeerVersion(status.configuration_version))
    configuration_.Resume();
  if (!state_->routes())
    return;
  const uint64_t own_version = state_->routes()->version();
  endpoints_.OnPeerRevision(status.endpoints_revision, status.endpoints_epoch);
  evacuations_.OnPeerRevision(status.evacuations_revision,
                              status.evacuations_epoch);
  const bool is_confirmation = status.configuration_version == own_version &&
                               status.configuration_age && status.echoed_at;
  if (!is_confirmation)
    return;
  const Timestamp now = GatewayState::BootNow();
  state_->configuration_freshness().OnConfirmedByPeer(
      *status.echoed_at, *status.configuration_age, now);
  const bool store_has_recovered =
      configuration_.is_unreachable() &&
      *status.echoed_at - *status.configuration_age > last_unreachable_at_;
  if (store_has_recovered) {
    last_unreachable_at_ = now;
    configuration_.Reconnect();
  }
}

// The watch of the configuration decides whether the store is reachable. While
// it fails, the other watches stop after their next failed call. If one of the
// others fails first, a call for the configuration in progress is repeated to
// check the store; while that watch is suspended, the age of the configuration
// shows it.
void StoreController::OnReachabilityChanged(StoreKind kind, bool reachable) {
  if (kind != StoreKind::kConfiguration) {
    if (!reachable && !configuration_.is_unreachable())
      configuration_.Reconnect();
    return;
  }
  if (reachable) {
    const auto until = removal_grace_period_.OnRegained(
        configuration_.last_failed_call_at(), state_->Now());
    if (until)
      state_->endpoints().DeferRemovals(*until);
  } else {
    removal_grace_period_.OnLost(state_->Now());
    last_unreachable_at_ = GatewayState::BootNow();
  }
  for (ListController* list : {&endpoints_, &evacuations_, rollouts_.get()}) {
    if (!list)
      continue;
    list->watcher().SuspendAfterFailure(!reachable);
    list->watcher().Reconnect();
  }
  if (reachable)
    recovery_unannounced_ = true;
}

void StoreController::OnStoreRestored() {
  // The store acknowledges nothing while it is unreachable.
  const Timestamp reachable_until = configuration_.is_unreachable()
                                        ? last_unreachable_at_
                                        : GatewayState::BootNow();
  confirmation_.OnStoreRestored(reachable_until, MaxUnconfirmedAge());
  const StoreRestoration& restoration = state_->store_restoration();
  state_->endpoints().DeferRemovals(restoration.complete_since());
  for (ListController* list : {&endpoints_, &evacuations_, rollouts_.get()}) {
    if (list)
      list->OnPeerRevision(0, restoration.epoch());
  }
}

void StoreController::OnConfigurationUpdate(const StoreUpdate& update) {
  for (const StoreObject& object : update.objects) {
    if (!object.removed)
      is_configuration_unreadable_ = !ApplyConfiguration(object);
  }
  age_check_pending_ = false;
  if (is_configuration_unreadable_ || !state_->routes())
    return;
  if (confirmation_.OnResponse(update.requested_at))
    OnConfigurationConfirmed();
}

void StoreController::OnConfigurationConfirmed() {
  if (recovery_unannounced_ && on_store_recovered_)
    on_store_recovered_();
  recovery_unannounced_ = false;
}

bool StoreController::ApplyConfiguration(const StoreObject& object) {
  Result<RouteTableParts> parts = state_->codec().DecodeConfiguration(object);
  Result<RouteTable> table = parts ? RouteTable::Create(parts.TakeValue())
                                   : Result<RouteTable>(parts.last_reason());
  if (!table) {
    LogUnreadable(StoreKind::kConfiguration, object, table.last_reason());
    return false;
  }
  const uint64_t version = table->version();
  const size_t routes = table->parts().routes.size();
  if (state_->UpdateRoutes(table.TakeValue())) {
    LogLine line("configuration-taken");
    line.Add("version", version)
        .Add("routes", routes)
        .Add("revision", object.revision);
    state_->log().Info(line);
  }
  return true;
}

// An entry that cannot be read names no endpoint to use.
StoreChange StoreController::DecodeEndpoint(const StoreObject& object) {
  if (object.removed)
    return {object.name, true, std::nullopt};
  Result<EndpointRecord> record = state_->codec().DecodeEndpointRecord(object);
  if (record)
    return {object.name, false, *record};
  LogUnreadable(StoreKind::kEndpoints, object, record.last_reason());
  return {object.name, true, std::nullopt};
}

void StoreController::ReplaceEndpoints(const Changes& endpoints) {
  std::vector<EndpointRecord> records;
  for (const StoreChange& change : endpoints) {
    if (change.endpoint)
      records.push_back(*change.endpoint);
  }
  state_->endpoints().ReplaceAll(records, state_->Now());
  if (const auto known_since = endpoints_.watcher().known_since())
    state_->version_history().OnListed(*known_since);
  state_->UpdateVersionHistory();
  state_->set_endpoints_known();
  state_->endpoint_changes().OnRevision(
      endpoints_.watcher().newest_object_revision(), state_->Now(),
      endpoints_.watcher().epoch());
  LogLine line("endpoints-listed");
  line.Add("entries", endpoints.size()).Add("readable", records.size());
  state_->log().Info(line);
}

void StoreController::ApplyEndpointChanges(const Changes& changes) {
  state_->endpoint_changes().OnRevision(
      endpoints_.watcher().newest_object_revision(), state_->Now(),
      endpoints_.watcher().epoch());
  for (const StoreChange& change : changes) {
    if (!change.endpoint) {
      state_->endpoints().Remove(change.name, state_->Now());
      continue;
    }
    // A later change of the same batch may remove it.
    state_->NoteVersionOf(*change.endpoint);
    state_->endpoints().Put(*change.endpoint, state_->Now());
  }
  state_->UpdateVersionHistory();
  LogEndpointChanges(changes);
}

// One line for all changes: a release changes hundreds of endpoints, and each
// gateway logs it.
void StoreController::LogEndpointChanges(const Changes& changes) {
  boost::json::array ready;
  boost::json::array draining;
  boost::json::array removed;
  for (const StoreChange& change : changes) {
    if (!change.endpoint)
      removed.emplace_back(change.name);
    else if (change.endpoint->draining)
      draining.emplace_back(change.name);
    else
      ready.emplace_back(change.name);
  }
  LogLine line("endpoints-changed");
  line.Add("revision", endpoints_.watcher().revision());
  for (auto& [name, ids] :
       {std::pair("ready", &ready), std::pair("draining", &draining),
        std::pair("removed", &removed)}) {
    if (!ids->empty())
      line.Add(name, std::move(*ids));
  }
  state_->log().Info(line);
}

void StoreController::ReplaceEvacuations(const Changes& evacuations) {
  std::set<std::string> zones;
  for (const StoreChange& change : evacuations)
    zones.insert(change.name);
  forgotten_evacuations_.clear();
  if (state_->store_restoration().MayLackObjects(state_->Now())) {
    for (const std::string& zone : state_->endpoints().evacuated_zones()) {
      if (zones.insert(zone).second)
        forgotten_evacuations_.insert(zone);
    }
  }
  SetEvacuated(std::move(zones));
}

void StoreController::EndForgottenEvacuations(Timestamp now) {
  if (forgotten_evacuations_.empty() ||
      state_->store_restoration().MayLackObjects(now))
    return;
  std::set<std::string> zones = state_->endpoints().evacuated_zones();
  for (const std::string& zone : forgotten_evacuations_)
    zones.erase(zone);
  forgotten_evacuations_.clear();
  SetEvacuated(std::move(zones));
}

void StoreController::ApplyEvacuationChanges(const Changes& changes) {
  std::set<std::string> zones = state_->endpoints().evacuated_zones();
  for (const StoreChange& change : changes) {
    forgotten_evacuations_.erase(change.name);
    if (change.removed)
      zones.erase(change.name);
    else
      zones.insert(change.name);
  }
  SetEvacuated(std::move(zones));
}

void StoreController::SetEvacuated(std::set<std::string> zones) {
  state_->evacuation_changes().OnRevision(
      evacuations_.watcher().newest_object_revision(), state_->Now(),
      evacuations_.watcher().epoch());
  if (zones == state_->endpoints().evacuated_zones())
    return;
  LogLine line("zones-evacuated");
  boost::json::array names;
  for (const std::string& zone : zones)
    names.emplace_back(zone);
  line.Add("zones", std::move(names));
  state_->log().Info(line);
  state_->endpoints().SetEvacuatedZones(std::move(zones), state_->Now());
}

// An order that cannot be read is treated as taken back.
StoreChange StoreController::DecodeRollout(const StoreObject& object) {
  if (object.removed)
    return {object.name, true, std::nullopt};
  Result<RolloutOrder> order = state_->codec().DecodeRollout(object);
  if (order)
    return {object.name, false, std::nullopt, *order};
  LogUnreadable(StoreKind::kRollouts, object, order.last_reason());
  return {object.name, true, std::nullopt};
}

void StoreController::ReplaceRollouts(const Changes& orders) {
  state_->set_rollouts_known();
  std::set<std::string> missing;
  for (const auto& [name, rollout] : state_->rollouts().rollouts())
    missing.insert(name);
  for (const StoreChange& order : orders)
    missing.erase(order.name);
  Changes changes = orders;
  for (const std::string& name : missing)
    changes.push_back({name, true, std::nullopt});
  ApplyRolloutChanges(changes);
}

void StoreController::ApplyRolloutChanges(const Changes& changes) {
  RolloutTable& rollouts = state_->rollouts();
  for (const StoreChange& change : changes) {
    const bool is_known = rollouts.rollouts().contains(change.name);
    const bool is_new =
        change.rollout && rollouts.Put(*change.rollout, state_->Now());
    if (!change.rollout)
      rollouts.Remove(change.name);
    if (!is_new && (change.rollout || !is_known))
      continue;
    LogLine line("rollout-ordered");
    line.Add("name", change.name).Add("removed", !change.rollout);
    if (change.rollout) {
      line.Add("service", change.rollout->service)
          .Add("target", change.rollout->target)
          .AddTime("duration", change.rollout->duration)
          .Add("revision", change.rollout->revision);
      if (const auto stored = change.rollout->state())
        line.Add("state", ToString(*stored));
    }
    state_->log().Info(line);
  }
}

void StoreController::LogUnreadable(StoreKind kind,
                                    const StoreObject& object,
                                    const Error& reason) {
  state_->metrics().OnUnreadableEntry();
  LogLine line("entry-unreadable");
  line.Add("kind", ToString(kind))
      .Add("name", object.name)
      .Add("reason", Describe(reason));
  state_->log().Warn(line);
}

}  // namespace teaselthread
