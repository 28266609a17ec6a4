#include "libteaselthread/admission_controller.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr Duration kRetryAfterBusy = milliseconds(500);
constexpr Duration kRetryAfterOut = milliseconds(2'000);
constexpr Duration kUnreachableBackoff = milliseconds(1'000);

AdmissionDecision Admit() {
  return {AdmissionVerdict::kAdmitted, {}, {}};
}

AdmissionDecision Refuse(RefusalReason reason, Duration retry_after) {
  return {AdmissionVerdict::kRefused, reason, retry_after};
}

}  // namespace

AdmissionController::AdmissionController(FleetView fleet,
                                         LoadTable* loads,
                                         AdmissionTiming timing,
                                         uint64_t sequence_origin)
    : fleet_(fleet),
      owners_(fleet.membership),
      loads_(loads),
      timing_(timing),
      sequence_origin_(sequence_origin) {}

AdmissionDecision AdmissionController::Submit(const std::string& name,
                                              const AdmissionRequest& request,
                                              Timestamp now) {
  FollowOwnership(now);
  const Endpoint* endpoint = fleet_.directory->Find(name);
  if (!endpoint)
    return Refuse(RefusalReason::kNoEndpoint, kRetryAfterOut);
  auto found = sites_.find(name);
  if (found == sites_.end() || !found->second.owned)
    return Refuse(RefusalReason::kNotOwner, kRetryAfterBusy);
  Site& site = found->second;
  if (auto refusal = RefuseAtOnce(*endpoint, site, now))
    return *refusal;
  if (request.deadline <= now)
    return Refuse(RefusalReason::kDeadlinePassed, kRetryAfterBusy);
  const int limit = Limit(*endpoint, site, now);
  const int load = static_cast<int>(site.queue.running() + site.foreign_load);
  if (load < limit && site.queue.waiting() == 0) {
    site.queue.Start(request, now);
    Publish(name, site, now);
    return Admit();
  }
  const Duration wait = site.queue.ExpectedWait(limit);
  if (wait > request.max_wait || request.max_wait == Duration::zero()) {
    return Refuse(RefusalReason::kEndpointBusy,
                  std::max(wait, kRetryAfterBusy));
  }
  if (site.queue.full())
    return Refuse(RefusalReason::kQueueFull, std::max(wait, kRetryAfterBusy));
  if (now + wait >= request.deadline)
    return Refuse(RefusalReason::kDeadlineTooShort, wait);
  site.queue.Enqueue(request, now);
  return {AdmissionVerdict::kQueued, {}, {}};
}

std::vector<QueueResult> AdmissionController::End(const std::string& name,
                                                  CallId id,
                                                  Timestamp now) {
  std::vector<QueueResult> results;
  auto found = sites_.find(name);
  if (found == sites_.end())
    return results;
  found->second.queue.Remove(id, now);
  Publish(name, found->second, now);
  FillPlaces(name, found->second, now, &results);
  return results;
}

std::vector<QueueResult> AdmissionController::Tick(Timestamp now) {
  FollowOwnership(now);
  std::vector<QueueResult> results;
  for (auto& [name, site] : sites_) {
    for (const AdmissionRequest& expired : site.queue.TakeExpired(now)) {
      const RefusalReason reason = expired.deadline <= now
                                       ? RefusalReason::kDeadlinePassed
                                       : RefusalReason::kEndpointBusy;
      results.push_back({expired.id, Refuse(reason, kRetryAfterBusy)});
    }
    if (site.owned && site.guarded)
      FindPredecessor(name, site);
    Publish(name, site, now);
    FillPlaces(name, site, now, &results);
  }
  return results;
}

std::vector<RequestHandOver> AdmissionController::PendingHandOvers() const {
  std::vector<RequestHandOver> requests;
  for (const auto& [name, site] : sites_) {
    if (!site.owned || (!site.guarded && site.foreign_load == 0))
      continue;
    const Member* previous = fleet_.membership->Find(site.previous_owner);
    if (previous && previous->status != MemberStatus::kDead)
      requests.push_back({name, site.previous_owner});
  }
  return requests;
}

void AdmissionController::OnHandedOver(const std::string& name,
                                       const std::string& previous_owner,
                                       const HandOverAnswer& answer,
                                       Timestamp now) {
  auto found = sites_.find(name);
  if (found == sites_.end() || !found->second.owned)
    return;
  Site& site = found->second;
  if (!site.guarded) {
    if (answer.handed_over)
      site.foreign_load = std::min(site.foreign_load, answer.load);
    return Publish(name, site, now);
  }
  if (!answer.hands_over) {
    site.not_predecessor = previous_owner;
    if (site.previous_owner == previous_owner)
      site.previous_owner.clear();
    return;
  }
  const uint32_t own = site.queue.running();
  // What this node handed over to the other one comes back in its count.
  const bool includes_own = site.handed_to == previous_owner;
  site.foreign_load = includes_own ? answer.load - std::min(own, answer.load)
                                   : std::max(site.foreign_load, answer.load);
  LiftGuard(site);
  Publish(name, site, now);
}

HandOverAnswer AdmissionController::HandOver(const std::string& name,
                                             const std::string& new_owner,
                                             Timestamp now) {
  auto found = sites_.find(name);
  if (found == sites_.end())
    return {};
  Site& site = found->second;
  HandOverAnswer answer;
  answer.load = site.queue.running() + site.foreign_load;
  answer.hands_over = site.holds;
  answer.handed_over = site.handed_to == new_owner;
  if (!answer.hands_over) {
    // Two nodes are about to take it over; the one that asks goes first.
    site.guarded_until =
        std::max(site.guarded_until, now + 2 * timing_.guard_time);
    return answer;
  }
  site.holds = false;
  site.handed_to = new_owner;
  if (!site.owned)
    return answer;
  // If this node's own view still makes it the owner, it has to ask for the
  // endpoint back before it admits anything.
  site.guarded = true;
  site.guarded_until = now + timing_.guard_time;
  site.previous_owner = new_owner;
  return answer;
}

void AdmissionController::OnEndpointReport(const std::string& name,
                                           const EndpointReport& report,
                                           Timestamp now) {
  auto found = sites_.find(name);
  if (found == sites_.end() || !found->second.owned)
    return;
  Site& site = found->second;
  site.unreachable_until.reset();
  site.slow_start.OnReport(report.temperature, timing_.report_lag, now);
  // Once the previous owner can have started nothing new for a while, the
  // endpoint's own count shows what is left of that owner's work. Calls that
  // this node has started since the report was made are not in it.
  if (now < site.guarded_until)
    return Publish(name, site, now);
  const uint32_t own = site.queue.RunningSince(now - timing_.report_lag);
  const uint32_t others = report.running > own ? report.running - own : 0;
  if (!site.guarded) {
    site.foreign_load = std::min(site.foreign_load, others);
  } else if (!PredecessorMayAdmit(site)) {
    site.foreign_load = others;
    LiftGuard(site);
  }
  Publish(name, site, now);
}

void AdmissionController::OnEndpointUnreachable(const std::string& name,
                                                Timestamp now) {
  auto found = sites_.find(name);
  if (found == sites_.end())
    return;
  found->second.unreachable_until = now + kUnreachableBackoff;
  // What comes back may be a restarted process with nothing loaded.
  found->second.slow_start = SlowStart::Unknown();
}

void AdmissionController::OnFirstByte(const std::string& name,
                                      Duration latency,
                                      Timestamp now) {
  auto found = sites_.find(name);
  const Endpoint* endpoint = fleet_.directory->Find(name);
  if (found == sites_.end() || !endpoint)
    return;
  const EndpointPolicy* policy = fleet_.PolicyOf(*endpoint);
  if (policy)
    found->second.slow_start.OnFirstByte(latency, *policy, now);
}

std::vector<std::string> AdmissionController::OwnedEndpoints() const {
  std::vector<std::string> names;
  for (const auto& [name, site] : sites_) {
    if (site.owned)
      names.push_back(name);
  }
  return names;
}

bool AdmissionController::IsGuarded(const std::string& endpoint) const {
  auto found = sites_.find(endpoint);
  return found != sites_.end() && found->second.guarded;
}

size_t AdmissionController::AdmittingCount() const {
  return static_cast<size_t>(
      std::count_if(sites_.begin(), sites_.end(), [](const auto& item) {
        return item.second.owned && !item.second.guarded;
      }));
}

uint32_t AdmissionController::RunningTotal() const {
  uint32_t total = 0;
  for (const auto& [name, site] : sites_)
    total += site.queue.running();
  return total;
}

void AdmissionController::FollowOwnership(Timestamp now) {
  GuardWhileOutOfStanding(now);
  const uint64_t members = fleet_.membership->revision() + 1;
  const uint64_t endpoints = fleet_.directory->version() + 1;
  if (members == followed_members_ && endpoints == followed_endpoints_)
    return;
  followed_members_ = members;
  followed_endpoints_ = endpoints;
  std::erase_if(sites_, [this](const auto& item) {
    const EndpointQueue& queue = item.second.queue;
    return !fleet_.directory->Find(item.first) && queue.running() == 0 &&
           queue.waiting() == 0;
  });
  const Member& self = fleet_.membership->self();
  for (const auto& [name, endpoint] : fleet_.directory->all()) {
    const Member* owner = owners_.OwnerOf(endpoint);
    const bool is_owner = owner && owner->name == self.name;
    auto found = sites_.find(name);
    if (is_owner && (found == sites_.end() || !found->second.owned))
      BecomeOwner(endpoint, sites_[name], now);
    else if (!is_owner && found != sites_.end())
      found->second.owned = false;
  }
}

void AdmissionController::GuardWhileOutOfStanding(Timestamp now) {
  if (fleet_.membership->InGoodStanding(now))
    return;
  const std::string& self = fleet_.membership->self().name;
  for (auto& [name, site] : sites_) {
    site.holds = false;
    site.guarded = true;
    site.guarded_until = now + timing_.guard_time;
    site.not_predecessor.clear();
    // Who would own it without this node may have taken it over.
    const Endpoint* endpoint = fleet_.directory->Find(name);
    const Member* successor =
        endpoint ? owners_.OwnerWithout(self, *endpoint) : nullptr;
    if (successor)
      site.previous_owner = successor->name;
  }
}

void AdmissionController::FindPredecessor(const std::string& name,
                                          Site& site) const {
  const EndpointLoad* known = loads_->Find(name);
  const bool is_other = known &&
                        known->owner != fleet_.membership->self().name &&
                        known->owner != site.not_predecessor;
  if (is_other)
    site.previous_owner = known->owner;
}

void AdmissionController::BecomeOwner(const Endpoint& endpoint,
                                      Site& site,
                                      Timestamp now) {
  site.owned = true;
  site.guarded = true;
  site.guarded_until = now + timing_.guard_time;
  site.foreign_load = 0;
  site.previous_owner.clear();
  site.not_predecessor.clear();
  const EndpointLoad* known = loads_->Find(endpoint.name);
  if (!known)
    return;
  FindPredecessor(endpoint.name, site);
  const uint32_t own = site.queue.running();
  site.foreign_load = known->load > own ? known->load - own : 0;
  if (known->temperature == EndpointTemperature::kWarm)
    site.slow_start = SlowStart::AlreadyWarm();
}

void AdmissionController::LiftGuard(Site& site) {
  site.guarded = false;
  site.holds = true;
  site.handed_to.clear();
}

bool AdmissionController::PredecessorMayAdmit(const Site& site) const {
  const Member* previous = fleet_.membership->Find(site.previous_owner);
  return previous && previous->name != fleet_.membership->self().name &&
         previous->status != MemberStatus::kDead;
}

int AdmissionController::Limit(const Endpoint& endpoint,
                               const Site& site,
                               Timestamp now) const {
  const EndpointPolicy* policy = fleet_.PolicyOf(endpoint);
  if (!policy)
    return 0;
  return std::min(site.slow_start.Limit(*policy, now),
                  fleet_.LoadBoundOf(endpoint, *policy, now));
}

std::optional<AdmissionDecision> AdmissionController::RefuseAtOnce(
    const Endpoint& endpoint,
    const Site& site,
    Timestamp now) const {
  const auto configuration = fleet_.configuration->current();
  if (!configuration || !fleet_.PolicyOf(endpoint))
    return Refuse(RefusalReason::kNotReady, kRetryAfterOut);
  if (!EndpointDirectory::TakesNewWork(endpoint, *configuration))
    return Refuse(RefusalReason::kEndpointOut, kRetryAfterOut);
  if (site.guarded || !fleet_.membership->InGoodStanding(now))
    return Refuse(RefusalReason::kOwnerGuarded, kRetryAfterBusy);
  if (site.unreachable_until && now < *site.unreachable_until)
    return Refuse(RefusalReason::kEndpointUnreachable, kUnreachableBackoff);
  return std::nullopt;
}

void AdmissionController::Publish(const std::string& name,
                                  const Site& site,
                                  Timestamp now) {
  // Until the hand-over the previous owner's report is the better one.
  if (!site.owned || site.guarded)
    return;
  const EndpointLoad* known = loads_->Find(name);
  const uint64_t clock =
      sequence_origin_ + static_cast<uint64_t>(now.time_since_epoch().count());
  const uint64_t sequence =
      known ? std::max(clock, known->sequence + 1) : clock;
  loads_->Merge({name, fleet_.membership->self().name,
                 site.queue.running() + site.foreign_load,
                 site.slow_start.temperature(), sequence},
                now);
}

void AdmissionController::FillPlaces(const std::string& name,
                                     Site& site,
                                     Timestamp now,
                                     std::vector<QueueResult>* results) {
  const Endpoint* endpoint = fleet_.directory->Find(name);
  std::optional<AdmissionDecision> refusal;
  if (!endpoint || !site.owned)
    refusal = Refuse(RefusalReason::kNotOwner, kRetryAfterBusy);
  else
    refusal = RefuseAtOnce(*endpoint, site, now);
  if (refusal) {
    for (CallId id : site.queue.TakeAllWaiting())
      results->push_back({id, *refusal});
    return;
  }
  while (site.queue.waiting() > 0) {
    const int load = static_cast<int>(site.queue.running() + site.foreign_load);
    if (load >= Limit(*endpoint, site, now))
      return;
    const std::optional<AdmissionRequest> next = site.queue.TakeNext();
    site.queue.Start(*next, now);
    Publish(name, site, now);
    results->push_back({next->id, Admit()});
  }
}

}  // namespace teaselthread
