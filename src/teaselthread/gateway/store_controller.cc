#include "teaselthread/gateway/store_controller.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Each answer proves the configuration's age anew, so this is well below the
// revocation bound.
constexpr Duration kConfigurationWait = milliseconds(1'500);
// Changes come at once in any case; a connection that has gone silent shows
// by the configuration's watch.
constexpr Duration kListWait = milliseconds(6'000);
// Endpoints whose entries lapsed while the store was away register again
// within 2 s of its return.
constexpr Duration kReturnGrace = milliseconds(2'300);
constexpr Duration kSweepInterval = milliseconds(200);

}  // namespace

StoreController::StoreController(GatewayState* state)
    : state_(state),
      configuration_(state,
                     StoreKind::kConfiguration,
                     kConfigurationWait,
                     MakeCallbacks(&StoreController::OnConfigurationList,
                                   &StoreController::OnConfigurationChanges)),
      endpoints_(state,
                 StoreKind::kEndpoints,
                 kListWait,
                 MakeCallbacks(&StoreController::OnEndpointList,
                               &StoreController::OnEndpointChanges)),
      evacuations_(state,
                   StoreKind::kEvacuations,
                   kListWait,
                   MakeCallbacks(&StoreController::OnEvacuationList,
                                 &StoreController::OnEvacuationChanges)) {}

void StoreController::Start() {
  configuration_.Start();
  endpoints_.Start();
  evacuations_.Start();
  state_->timers().Subscribe(
      kSweepInterval, state_->Now(),
      [this](Timestamp now) { state_->endpoints().Sweep(now); });
}

StoreWatcher::Callbacks StoreController::MakeCallbacks(
    void (StoreController::*on_list)(const Objects&, Timestamp),
    void (StoreController::*on_changes)(const Objects&, Timestamp)) {
  return {[this, on_list](const Objects& objects, Timestamp asked_at) {
            (this->*on_list)(objects, asked_at);
          },
          [this, on_changes](const Objects& objects, Timestamp asked_at) {
            (this->*on_changes)(objects, asked_at);
          },
          [this](bool reachable) { OnReachable(reachable); }};
}

void StoreController::OnReachable(bool reachable) {
  if (reachable) {
    state_->endpoints().DeferRemovals(state_->Now() + kReturnGrace);
    return;
  }
  configuration_.Reconnect();
  endpoints_.Reconnect();
  evacuations_.Reconnect();
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
  if (all_taken && state_->routes())
    state_->knowledge().OnProof(asked_at);
}

bool StoreController::TakeConfiguration(const StoreObject& object) {
  Result<RouteTableParts> parts =
      state_->dialect().DecodeConfiguration(object);
  Result<RouteTable> table = parts ? RouteTable::Create(parts.TakeValue())
                                   : Result<RouteTable>(parts.last_reason());
  if (!table) {
    LogUnreadable(StoreKind::kConfiguration, object, table.last_reason());
    return false;
  }
  const uint64_t version = table->version();
  const size_t routes = table->parts().routes.size();
  if (state_->OfferRoutes(table.TakeValue())) {
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
  LogLine line("endpoints-listed");
  line.Add("entries", objects.size()).Add("readable", records.size());
  state_->log().Info(line);
}

void StoreController::OnEndpointChanges(const Objects& objects,
                                        Timestamp /*asked_at*/) {
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
  Result<EndpointRecord> record =
      state_->dialect().DecodeEndpointRecord(object);
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
