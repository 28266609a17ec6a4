#include "teaselthread/store/store_controller.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// How long a watch of the configuration waits on the zone leader, and on a
// gateway whose configuration has not been confirmed recently. Each response to
// the leader confirms the configuration for its whole availability zone, so the
// wait is well below the revocation bound.
constexpr Duration kShortWait = milliseconds(600);
// The store responds to a waiting watch as soon as something changes, so a long
// wait does not delay changes.
constexpr Duration kLongWait = milliseconds(25'000);
// A gateway polls the store itself if its configuration has not been confirmed
// for this long: the wait of the zone leader's watch plus two heartbeats.
constexpr Duration kMaxUnconfirmedAge = milliseconds(2'000);
// A release changes endpoints one after the other. After a change, the next
// call is delayed by this share of the drain bound, so that one call reads all
// that has changed meanwhile.
constexpr double kEndpointBatchShare = 0.45;
constexpr Duration kEvacuationBatchDelay = milliseconds(100);
constexpr Duration kShortMaxBackoff = milliseconds(400);
// For the watch of the configuration on gateways other than the zone leader. A
// heartbeat of the leader ends the pause once the store is back.
constexpr Duration kLongMaxBackoff = milliseconds(1'500);
// By these times, this gateway's own watch normally delivers a change that a
// peer has announced. The configuration has the longer time after an
// announcement, because reading it takes some time and peers announce a new
// version at once.
constexpr MissedChangeDetector::Timeouts kConfigurationTimeouts{
    .after_announcement = milliseconds(500),
    .after_call = milliseconds(800)};
constexpr MissedChangeDetector::Timeouts kListTimeouts{
    .after_announcement = milliseconds(200),
    .after_call = milliseconds(800)};
// On the zone leader, the watches of endpoints and evacuations end before their
// bounds, so that the leader detects in time that the store no longer responds
// to them. The watch of endpoints ends after this share of the drain bound.
constexpr double kLeaderEndpointWaitShare = 0.5;
// An evacuation may take seconds to take effect.
constexpr Duration kLeaderEvacuationWait = milliseconds(2'000);
constexpr Duration kSweepInterval = milliseconds(200);

}  // namespace

StoreController::StoreController(GatewayState* state)
    : state_(state),
      removal_grace_period_(state->settings().limits().contact_bound),
      missed_configuration_(kConfigurationTimeouts),
      missed_endpoints_(kListTimeouts),
      missed_evacuations_(kListTimeouts),
      configuration_(
          state,
          StoreKind::kConfiguration,
          [this] { return ConfigurationPollTiming(); },
          MakeCallbacks(StoreKind::kConfiguration,
                        &StoreController::OnConfigurationList,
                        &StoreController::OnConfigurationChanges)),
      endpoints_(
          state,
          StoreKind::kEndpoints,
          [this] {
            return ListPollTiming(DrainBoundShare(kLeaderEndpointWaitShare),
                                  DrainBoundShare(kEndpointBatchShare));
          },
          MakeCallbacks(StoreKind::kEndpoints,
                        &StoreController::OnEndpointList,
                        &StoreController::OnEndpointChanges)),
      evacuations_(
          state,
          StoreKind::kEvacuations,
          [this] {
            return ListPollTiming(kLeaderEvacuationWait, kEvacuationBatchDelay);
          },
          MakeCallbacks(StoreKind::kEvacuations,
                        &StoreController::OnEvacuationList,
                        &StoreController::OnEvacuationChanges)) {}

void StoreController::Start() {
  configuration_.Start();
  endpoints_.Start();
  evacuations_.Start();
  state_->timers().Subscribe(kSweepInterval, state_->Now(),
                             [this](Timestamp now) {
                               state_->endpoints().Sweep(now);
                               CheckConfigurationAge();
                               CheckMissedChanges();
                             });
}

StoreWatcher::PollTiming StoreController::ConfigurationPollTiming() const {
  const auto age =
      state_->configuration_freshness().Age(GatewayState::BootNow());
  const bool polls_often = state_->peers().IsZoneLeader(state_->Now()) ||
                           !age || *age > kMaxUnconfirmedAge;
  return {polls_often ? kShortWait : kLongWait, Duration::zero(),
          polls_often ? kShortMaxBackoff : kLongMaxBackoff};
}

Duration StoreController::DrainBoundShare(double share) const {
  const Duration bound = state_->settings().limits().drain_bound;
  return Duration(static_cast<Duration::rep>(bound.count() * share));
}

// Only the zone leader uses the short wait. The other gateways of the zone
// learn of changes that their own watches have missed from the leader.
StoreWatcher::PollTiming StoreController::ListPollTiming(
    Duration leader_wait,
    Duration batch_delay) const {
  const bool is_leader = state_->peers().IsZoneLeader(state_->Now());
  return {is_leader ? leader_wait : kLongWait, batch_delay, kShortMaxBackoff};
}

void StoreController::CheckMissedChanges() {
  if (!state_->routes() || configuration_.is_unreachable())
    return;
  ReconnectIfMissed(missed_configuration_, state_->routes()->version(),
                    &configuration_);
  ReconnectIfMissed(missed_endpoints_, endpoints_.revision(), &endpoints_);
  ReconnectIfMissed(missed_evacuations_, evacuations_.revision(),
                    &evacuations_);
}

void StoreController::ReconnectIfMissed(const MissedChangeDetector& missed,
                                        uint64_t known,
                                        StoreWatcher* watcher) {
  const auto waiting_since = watcher->waiting_since();
  const Timestamp now = state_->Now();
  if (watcher->is_unreachable() || !missed.IsMissed(known, waiting_since, now))
    return;
  LogLine line("change-missed");
  line.Add("kind", ToString(watcher->kind()))
      .Add("known", known)
      .Add("heard", missed.newest_peer_revision())
      .AddTime("waiting", now - *waiting_since);
  state_->log().Info(line);
  watcher->Reconnect();
}

void StoreController::CheckConfigurationAge() {
  const auto age =
      state_->configuration_freshness().Age(GatewayState::BootNow());
  if (!age || *age <= kMaxUnconfirmedAge || configuration_.is_unreachable() ||
      age_check_pending_)
    return;
  age_check_pending_ = true;
  configuration_.Reconnect();
}

void StoreController::OnPeerStatus(const PeerStatus& status) {
  if (!state_->routes())
    return;
  const uint64_t own_version = state_->routes()->version();
  missed_configuration_.OnPeerRevision(status.configuration_version,
                                       state_->Now());
  missed_endpoints_.OnPeerRevision(status.endpoints_revision, state_->Now());
  missed_evacuations_.OnPeerRevision(status.evacuations_revision,
                                     state_->Now());
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

StoreWatcher::Callbacks StoreController::MakeCallbacks(
    StoreKind kind,
    void (StoreController::*on_list)(const Objects&, Timestamp),
    void (StoreController::*on_changes)(const Objects&, Timestamp)) {
  return {
      [this, on_list](const Objects& objects, Timestamp requested_at) {
        (this->*on_list)(objects, requested_at);
      },
      [this, on_changes](const Objects& objects, Timestamp requested_at) {
        (this->*on_changes)(objects, requested_at);
      },
      [this, kind](bool reachable) { OnReachabilityChanged(kind, reachable); }};
}

// The watch of the configuration decides whether the store is reachable. While
// it fails, the other watches stop after their next failed call. If one of the
// others fails first, the watch of the configuration reconnects to check the
// store.
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
  for (StoreWatcher* list_watcher : {&endpoints_, &evacuations_}) {
    list_watcher->SuspendAfterFailure(!reachable);
    list_watcher->Reconnect();
  }
  if (reachable)
    recovery_unannounced_ = true;
}

void StoreController::OnConfigurationList(const Objects& objects,
                                          Timestamp requested_at) {
  OnConfigurationChanges(objects, requested_at);
}

void StoreController::OnConfigurationChanges(const Objects& objects,
                                             Timestamp requested_at) {
  bool all_applied = true;
  for (const StoreObject& object : objects)
    all_applied = (object.removed || ApplyConfiguration(object)) && all_applied;
  age_check_pending_ = false;
  if (!all_applied || !state_->routes())
    return;
  state_->configuration_freshness().OnConfirmed(requested_at);
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

void StoreController::OnEndpointList(const Objects& objects,
                                     Timestamp /*requested_at*/) {
  std::vector<EndpointRecord> records;
  for (const StoreObject& object : objects) {
    if (const auto record = ReadEndpoint(object))
      records.push_back(*record);
  }
  state_->endpoints().ReplaceAll(records, state_->Now());
  state_->set_endpoints_known();
  state_->endpoint_changes().OnRevision(endpoints_.newest_object_revision(),
                                        state_->Now());
  LogLine line("endpoints-listed");
  line.Add("entries", objects.size()).Add("readable", records.size());
  state_->log().Info(line);
}

void StoreController::OnEndpointChanges(const Objects& objects,
                                        Timestamp /*requested_at*/) {
  state_->endpoint_changes().OnRevision(endpoints_.newest_object_revision(),
                                        state_->Now());
  for (const StoreObject& object : objects) {
    std::optional<EndpointRecord> record;
    if (!object.removed)
      record = ReadEndpoint(object);
    if (record) {
      state_->endpoints().Put(*record, state_->Now());
      LogEndpoint(*record);
      continue;
    }
    state_->endpoints().Remove(object.name, state_->Now());
    LogLine line("endpoint-removed");
    line.Add("endpoint", object.name).Add("revision", object.revision);
    state_->log().Info(line);
  }
}

std::optional<EndpointRecord> StoreController::ReadEndpoint(
    const StoreObject& object) {
  Result<EndpointRecord> record = state_->codec().DecodeEndpointRecord(object);
  if (record)
    return *record;
  LogUnreadable(StoreKind::kEndpoints, object, record.last_reason());
  return std::nullopt;
}

void StoreController::LogEndpoint(const EndpointRecord& record) {
  LogLine line("endpoint-changed");
  line.Add("endpoint", record.id)
      .Add("service", record.service)
      .Add("address", record.address.ToString())
      .Add("zone", record.zone)
      .Add("draining", record.draining)
      .AddTime("cold_left", record.cold_left);
  state_->log().Info(line);
}

void StoreController::OnEvacuationList(const Objects& objects,
                                       Timestamp /*requested_at*/) {
  std::set<std::string> zones;
  for (const StoreObject& object : objects)
    zones.insert(object.name);
  SetEvacuated(std::move(zones));
}

void StoreController::OnEvacuationChanges(const Objects& objects,
                                          Timestamp /*requested_at*/) {
  std::set<std::string> zones = state_->endpoints().evacuated_zones();
  for (const StoreObject& object : objects) {
    if (object.removed)
      zones.erase(object.name);
    else
      zones.insert(object.name);
  }
  SetEvacuated(std::move(zones));
}

void StoreController::SetEvacuated(std::set<std::string> zones) {
  state_->evacuation_changes().OnRevision(evacuations_.newest_object_revision(),
                                          state_->Now());
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
