#include "libteaselthread/rollouts/rollout_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

// The target's endpoints must have at least this share of the slots that the
// old ones have before they take over the traffic.
constexpr double kMinSlotShare = 0.5;

bool IsSameOrder(const RolloutOrder& known, const RolloutOrder& order) {
  return known.service == order.service && known.target == order.target &&
         (!known.is_closed() || order.is_closed());
}

// Spread evenly from 0 to 1 over the nodes.
double RoundingOf(const std::string& node, const RolloutOrder& order) {
  return ShortHash(node + "\n" + order.target) /
         static_cast<double>(std::numeric_limits<uint32_t>::max());
}

}  // namespace

RolloutTable::RolloutTable(const RolloutLimits& limits,
                           std::string node,
                           uint32_t start,
                           const EndpointTable* endpoints)
    : limits_(limits),
      node_(std::move(node)),
      start_(start),
      endpoints_(endpoints) {}

void RolloutTable::OnStoreRestored() {
  revisions_.clear();
  for (auto& [name, rollout] : rollouts_)
    rollout.OnStoreRestored();
}

bool RolloutTable::Put(const RolloutOrder& order, Timestamp now) {
  uint64_t& revision = revisions_[order.name];
  if (order.revision <= revision)
    return false;
  const uint64_t not_before = std::exchange(revision, order.revision);
  const auto found = rollouts_.find(order.name);
  if (found != rollouts_.end()) {
    RolloutOrder read = order;
    // The copy may lack the state that was written since.
    if (found->second.is_restored() && !read.status)
      read.status = found->second.order().status;
    if (IsSameOrder(found->second.order(), read)) {
      found->second.Update(std::move(read));
      return false;
    }
    Close(found->second);
    rollouts_.erase(found);
  }
  versions_[order.service].barred.erase(order.target);
  rollouts_.try_emplace(order.name, order, not_before, limits_,
                        RoundingOf(node_, order), now);
  return true;
}

void RolloutTable::Remove(const std::string& name) {
  const auto found = rollouts_.find(name);
  if (found == rollouts_.end())
    return;
  Close(found->second);
  // Without an order, versions that start later may get requests.
  versions_[found->second.order().service].base.reset();
  rollouts_.erase(found);
}

void RolloutTable::Close(const Rollout& rollout) {
  const RolloutOrder& order = rollout.order();
  Versions& versions = versions_[order.service];
  if (order.state() == RolloutState::kCompleted) {
    versions.base = order.target;
    versions.barred.clear();
  } else {
    versions.barred.insert(order.target);
  }
}

VersionRule RolloutTable::OldVersions(const Rollout& rollout) const {
  VersionRule rule;
  const auto versions = versions_.find(rollout.order().service);
  if (versions != versions_.end()) {
    rule.only = versions->second.base;
    rule.barred = versions->second.barred;
  }
  rule.barred.insert(rollout.order().target);
  return rule;
}

std::vector<VersionRule> RolloutTable::RulesFor(const std::string& service,
                                                uint32_t route,
                                                size_t nodes,
                                                Timestamp now) const {
  const Rollout* rollout = Find(service);
  if (!rollout) {
    const auto versions = versions_.find(service);
    if (versions == versions_.end() || versions->second.barred.empty())
      return {};
    return {VersionRule{std::nullopt, versions->second.barred, {}}};
  }
  VersionRule target;
  target.only = rollout->order().target;
  const VersionRule old_versions = OldVersions(*rollout);
  switch (rollout->stage()) {
    case RolloutStage::kCompleted:
      return {target};
    case RolloutStage::kReverted:
      return {old_versions};
    case RolloutStage::kShifting:
      // Until the order is completed, old endpoints still serve what the
      // target's cannot, as in an evacuation.
      if (rollout->is_completing())
        return {target};
      return {target, old_versions};
    case RolloutStage::kCanary:
      break;
  }
  // An order for the version that is in use already, as after a completed one,
  // leaves no others.
  const std::vector<EndpointPtr> running = endpoints_->Running(service);
  const bool has_old =
      std::any_of(running.begin(), running.end(), [&](const auto& endpoint) {
        return old_versions.Allows(endpoint->record()) &&
               !endpoints_->IsLeaving(*endpoint);
      });
  if (!has_old)
    return {old_versions, target};
  if (!rollout->canary_share().Allows(route, nodes, rollout->ElapsedShare(now)))
    return {old_versions};
  target.endpoints = CanaryEndpoints(*rollout, now);
  if (target.endpoints.empty())
    return {old_versions};
  return {target, old_versions};
}

// The same few endpoints at all nodes, so that each gets as much load as an old
// endpoint does.
std::set<std::string> RolloutTable::CanaryEndpoints(const Rollout& rollout,
                                                    Timestamp now) const {
  const VersionRule old_versions = OldVersions(rollout);
  const RendezvousKey key(rollout.order().target);
  std::vector<std::pair<uint64_t, std::string>> ranked;
  size_t old_count = 0;
  for (const EndpointPtr& endpoint :
       endpoints_->Available(rollout.order().service, now)) {
    const EndpointRecord& record = endpoint->record();
    old_count += old_versions.Allows(record) ? 1 : 0;
    if (record.version == rollout.order().target &&
        !endpoint->health().ejected())
      ranked.emplace_back(key.WeightOf(record.id), record.id);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  const double share = CanaryShare::kUsedPart * limits_.expose_share;
  const auto count = static_cast<size_t>(
      std::max(1.0, std::ceil(share * static_cast<double>(old_count))));
  std::set<std::string> ids;
  for (size_t i = 0; i < std::min(count, ranked.size()); ++i)
    ids.insert(ranked[i].second);
  return ids;
}

bool RolloutTable::HasRoom(const Rollout& rollout, Timestamp now) const {
  const VersionRule old_versions = OldVersions(rollout);
  uint64_t target_slots = 0;
  uint64_t old_slots = 0;
  for (const EndpointPtr& endpoint :
       endpoints_->Available(rollout.order().service, now)) {
    const EndpointRecord& record = endpoint->record();
    if (record.version == rollout.order().target)
      target_slots += record.slots;
    else if (old_versions.Allows(record))
      old_slots += record.slots;
  }
  return target_slots > 0 && static_cast<double>(target_slots) >=
                                 kMinSlotShare * static_cast<double>(old_slots);
}

uint32_t RolloutTable::OldRequests(const Rollout& rollout) const {
  uint32_t requests = 0;
  for (const EndpointPtr& endpoint :
       endpoints_->Running(rollout.order().service)) {
    if (endpoint->record().version != rollout.order().target)
      requests += endpoint->local_requests();
  }
  return requests;
}

const Rollout* RolloutTable::Find(const std::string& service) const {
  const auto found = std::find_if(
      rollouts_.begin(), rollouts_.end(),
      [&](const auto& item) { return item.second.order().service == service; });
  return found == rollouts_.end() ? nullptr : &found->second;
}

Rollout* RolloutTable::FindOpen(const std::string& service) {
  const Rollout* found = Find(service);
  if (!found || found->order().is_closed())
    return nullptr;
  return &rollouts_.at(found->order().name);
}

void RolloutTable::OnSend(const std::string& service,
                          uint32_t route,
                          const std::string& version) {
  if (Rollout* rollout = FindOpen(service))
    rollout->canary_share().OnSend(route, version == rollout->order().target);
}

void RolloutTable::OnEnd(const std::string& service,
                         uint32_t route,
                         const EndpointRecord& endpoint,
                         const ResponseOutcome& outcome) {
  using Kind = ResponseOutcome::Kind;
  Rollout* rollout = FindOpen(service);
  const bool is_timed =
      outcome.is_timed && route_times_.IsKnown(service, route) &&
      (outcome.kind == Kind::kAnswered || outcome.kind == Kind::kAbandoned);
  const bool is_slow =
      is_timed && route_times_.IsSlow(service, route, outcome.time);
  const bool is_target = rollout && endpoint.version == rollout->order().target;
  if (outcome.kind == Kind::kAnswered && outcome.is_timed && !is_target)
    route_times_.OnResponse(service, route, outcome.time);
  // An endpoint of another zone that cannot be reached may be sound: most of a
  // zone's requests go to endpoints of the zone, but canary endpoints are few,
  // so a partition between zones would show at the target only. Nodes of the
  // endpoint's own zone can tell.
  const bool is_failure =
      outcome.kind == Kind::kFailed ||
      (outcome.kind == Kind::kUnreachable && !outcome.is_other_zone);
  // A caller that leaves says something only if it has waited for long.
  const bool counts = outcome.kind == Kind::kAnswered || is_failure ||
                      (outcome.kind == Kind::kAbandoned && is_slow);
  if (!rollout || !counts)
    return;
  RouteCounters& counters = rollout->evidence().own().routes[route];
  SideCounters& side = is_target ? counters.target : counters.old_side;
  ++side.responses;
  side.failures += is_failure ? 1 : 0;
  side.timed += is_timed ? 1 : 0;
  side.slow += is_slow ? 1 : 0;
}

std::vector<RolloutTable::StageChange> RolloutTable::Advance(
    const RolloutFleet& fleet,
    Timestamp now) {
  std::vector<StageChange> changes;
  for (auto& [name, rollout] : rollouts_) {
    const RolloutStage from = rollout.stage();
    const bool has_room = !rollout.order().is_closed() && HasRoom(rollout, now);
    if (rollout.Advance(fleet, has_room, now))
      changes.push_back({&rollout, from});
  }
  return changes;
}

std::vector<RolloutWrite> RolloutTable::WantedWrites(const RolloutFleet& fleet,
                                                     Timestamp now) const {
  std::vector<RolloutWrite> writes;
  for (const auto& [name, rollout] : rollouts_) {
    if (rollout.order().is_closed())
      continue;
    const auto state =
        rollout.WantedState(node_, fleet, OldRequests(rollout), now);
    const RolloutOrder& order = rollout.order();
    if (state)
      writes.push_back({name, {*state, order.target}, order.revision});
  }
  return writes;
}

void RolloutTable::OnWrite(const RolloutWrite& write) {
  const auto found = rollouts_.find(write.name);
  if (found != rollouts_.end() &&
      write.status.state == RolloutState::kCompleted)
    found->second.set_completing();
}

std::vector<RolloutReport> RolloutTable::Verdicts(Timestamp now) const {
  std::vector<RolloutReport> reports;
  for (const auto& [name, rollout] : rollouts_) {
    if (rollout.verdict() != RolloutVerdict::kNone)
      reports.push_back(rollout.MakeReport(now));
  }
  return reports;
}

RolloutReport RolloutTable::MakeReport(const Rollout& rollout, Timestamp now) {
  RolloutReport report = rollout.MakeReport(now);
  report.has_counters = true;
  report.sender = node_;
  report.start = start_;
  report.sequence = ++sequence_;
  report.old_requests = OldRequests(rollout);
  report.shifted = rollout.stage() == RolloutStage::kShifting;
  return report;
}

std::vector<RolloutReport> RolloutTable::OwnReports(Timestamp now) {
  std::vector<RolloutReport> reports;
  for (const auto& [name, rollout] : rollouts_) {
    if (rollout.order().is_closed())
      continue;
    RolloutReport report = MakeReport(rollout, now);
    report.counters = rollout.evidence().own().Compacted();
    reports.push_back(std::move(report));
  }
  return reports;
}

std::vector<RolloutReport> RolloutTable::ZoneReports(const RolloutFleet& fleet,
                                                     Timestamp now) {
  std::vector<RolloutReport> reports;
  for (const auto& [name, rollout] : rollouts_) {
    if (rollout.order().is_closed())
      continue;
    const auto coverage = rollout.evidence().ZoneCoverage(fleet, now);
    RolloutReport report = MakeReport(rollout, now);
    report.zone = fleet.zone;
    report.counters = rollout.evidence().ZoneCounters().Compacted();
    report.old_requests += coverage.old_requests;
    report.shifted = report.shifted && coverage.all_shifted;
    report.is_complete = coverage.is_complete;
    report.age = coverage.age;
    reports.push_back(std::move(report));
  }
  return reports;
}

bool RolloutTable::OnReport(const RolloutReport& report, Timestamp now) {
  bool is_new = false;
  for (auto& [name, rollout] : rollouts_)
    is_new = rollout.OnReport(report, now) || is_new;
  return is_new;
}

}  // namespace teaselthread
