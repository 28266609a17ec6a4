#include "teaselthread/store/store_controller.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Each answer to a zone's lead proves the configuration's age to its zone, so
// this is well below the revocation bound.
constexpr Duration kLeadWait = milliseconds(600);
// Changes come at once in any case.
constexpr Duration kLongWait = milliseconds(25'000);
// A gateway asks for itself once it has had no proof for so long: a lead's wait
// and two heartbeats.
constexpr Duration kAskAfter = milliseconds(2'000);
// Releases change endpoints one after the other, and one call reads all that
// has changed in this share of the bound on a leaving endpoint's last request.
constexpr double kGatherShare = 0.45;
constexpr Duration kEvacuationGather = milliseconds(100);
constexpr Duration kLeadBackOff = milliseconds(400);
// The lead's heartbeat ends the pause once the store is back.
constexpr Duration kFollowerBackOff = milliseconds(1'500);
// A change that another gateway has got reaches this one's own watch by then.
// Configurations take some time to read; and versions are told of at once.
constexpr MissedChangeDetector::Timeouts kConfigurationTimeouts{
    .after_announcement = milliseconds(500),
    .after_call = milliseconds(800)};
constexpr MissedChangeDetector::Timeouts kListTimeouts{
    .after_announcement = milliseconds(200),
    .after_call = milliseconds(800)};
// A lead's watches of lists end before their bounds, so that it notices in time
// if they have gone silent: that of endpoints after this share of the bound on
// a leaving endpoint's last request.
constexpr double kLeadWaitShare = 0.5;
// Evacuations have seconds to take effect.
constexpr Duration kEvacuationLeadWait = milliseconds(2'000);
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
          [this] { return ConfigurationPace(); },
          MakeCallbacks(StoreKind::kConfiguration,
                        &StoreController::OnConfigurationList,
                        &StoreController::OnConfigurationChanges)),
      endpoints_(
          state,
          StoreKind::kEndpoints,
          [this] {
            return ListPace(DrainShare(kLeadWaitShare),
                            DrainShare(kGatherShare));
          },
          MakeCallbacks(StoreKind::kEndpoints,
                        &StoreController::OnEndpointList,
                        &StoreController::OnEndpointChanges)),
      evacuations_(
          state,
          StoreKind::kEvacuations,
          [this] { return ListPace(kEvacuationLeadWait, kEvacuationGather); },
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
                               CheckAge();
                               CheckMissedChanges();
                             });
}

StoreWatcher::Pace StoreController::ConfigurationPace() const {
  const auto age =
      state_->configuration_freshness().Age(GatewayState::BootNow());
  const bool asks_often =
      state_->peers().IsZoneLeader(state_->Now()) || !age || *age > kAskAfter;
  return {asks_often ? kLeadWait : kLongWait, Duration::zero(),
          asks_often ? kLeadBackOff : kFollowerBackOff};
}

Duration StoreController::DrainShare(double share) const {
  const Duration bound = state_->settings().limits().drain_bound;
  return Duration(static_cast<Duration::rep>(bound.count() * share));
}

// The other gateways of the zone hear from the lead what their own watches have
// missed.
StoreWatcher::Pace StoreController::ListPace(Duration lead_wait,
                                             Duration gather) const {
  const bool is_lead = state_->peers().IsZoneLeader(state_->Now());
  return {is_lead ? lead_wait : kLongWait, gather, kLeadBackOff};
}

void StoreController::CheckMissedChanges() {
  if (!state_->routes() || configuration_.is_lost())
    return;
  AskForMissed(missed_configuration_, state_->routes()->version(),
               &configuration_);
  AskForMissed(missed_endpoints_, endpoints_.revision(), &endpoints_);
  AskForMissed(missed_evacuations_, evacuations_.revision(), &evacuations_);
}

void StoreController::AskForMissed(const MissedChangeDetector& missed,
                                   uint64_t known,
                                   StoreWatcher* watcher) {
  const auto waiting_since = watcher->waiting_since();
  const Timestamp now = state_->Now();
  if (watcher->is_lost() || !missed.IsMissed(known, waiting_since, now))
    return;
  LogLine line("change-missed");
  line.Add("kind", ToString(watcher->kind()))
      .Add("known", known)
      .Add("heard", missed.newest_peer_revision())
      .AddTime("waiting", now - *waiting_since);
  state_->log().Info(line);
  watcher->Reconnect();
}

void StoreController::CheckAge() {
  const auto age =
      state_->configuration_freshness().Age(GatewayState::BootNow());
  if (!age || *age <= kAskAfter || configuration_.is_lost() || asked_for_age_)
    return;
  asked_for_age_ = true;
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
  const bool is_proof = status.configuration_version == own_version &&
                        status.configuration_age && status.echoed_at;
  if (!is_proof)
    return;
  const Timestamp now = GatewayState::BootNow();
  state_->configuration_freshness().OnConfirmedByPeer(
      *status.echoed_at, *status.configuration_age, now);
  const bool store_is_back =
      configuration_.is_lost() &&
      *status.echoed_at - *status.configuration_age > lost_at_;
  if (store_is_back) {
    lost_at_ = now;
    configuration_.Reconnect();
  }
}

StoreWatcher::Callbacks StoreController::MakeCallbacks(
    StoreKind kind,
    void (StoreController::*on_list)(const Objects&, Timestamp),
    void (StoreController::*on_changes)(const Objects&, Timestamp)) {
  return {[this, on_list](const Objects& objects, Timestamp asked_at) {
            (this->*on_list)(objects, asked_at);
          },
          [this, on_changes](const Objects& objects, Timestamp asked_at) {
            (this->*on_changes)(objects, asked_at);
          },
          [this, kind](bool reachable) { OnReachable(kind, reachable); }};
}

// While the configuration cannot be read, the other kinds are not asked for.
void StoreController::OnReachable(StoreKind kind, bool reachable) {
  if (kind != StoreKind::kConfiguration) {
    if (!reachable && !configuration_.is_lost())
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
    lost_at_ = GatewayState::BootNow();
  }
  for (StoreWatcher* follower : {&endpoints_, &evacuations_}) {
    follower->HoldAfterFailure(!reachable);
    follower->Reconnect();
  }
  if (reachable)
    has_news_for_peers_ = true;
}

void StoreController::OnConfigurationList(const Objects& objects,
                                          Timestamp asked_at) {
  OnConfigurationChanges(objects, asked_at);
}

void StoreController::OnConfigurationChanges(const Objects& objects,
                                             Timestamp asked_at) {
  bool all_taken = true;
  for (const StoreObject& object : objects)
    all_taken = (object.removed || TakeConfiguration(object)) && all_taken;
  asked_for_age_ = false;
  if (!all_taken || !state_->routes())
    return;
  state_->configuration_freshness().OnConfirmed(asked_at);
  if (has_news_for_peers_ && on_regained_)
    on_regained_();
  has_news_for_peers_ = false;
}

bool StoreController::TakeConfiguration(const StoreObject& object) {
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
                                     Timestamp /*asked_at*/) {
  std::vector<EndpointRecord> records;
  for (const StoreObject& object : objects) {
    if (const auto record = ReadEndpoint(object))
      records.push_back(*record);
  }
  state_->endpoints().ReplaceAll(records, state_->Now());
  state_->set_endpoints_known();
  state_->endpoint_changes().OnRevision(endpoints_.newest_change(),
                                        state_->Now());
  LogLine line("endpoints-listed");
  line.Add("entries", objects.size()).Add("readable", records.size());
  state_->log().Info(line);
}

void StoreController::OnEndpointChanges(const Objects& objects,
                                        Timestamp /*asked_at*/) {
  state_->endpoint_changes().OnRevision(endpoints_.newest_change(),
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
                                       Timestamp /*asked_at*/) {
  std::set<std::string> zones;
  for (const StoreObject& object : objects)
    zones.insert(object.name);
  SetEvacuated(std::move(zones));
}

void StoreController::OnEvacuationChanges(const Objects& objects,
                                          Timestamp /*asked_at*/) {
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
  state_->evacuation_changes().OnRevision(evacuations_.newest_change(),
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
