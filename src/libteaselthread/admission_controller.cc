#include "libteaselthread/admission_controller.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr Duration kRetryAfterBusy = milliseconds(500);
constexpr Duration kRetryAfterUnavailable = milliseconds(2'000);
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
  UpdateOwnership(now);
  const Endpoint* endpoint = fleet_.directory->Find(name);
  if (!endpoint)
    return Refuse(RefusalReason::kNoEndpoint, kRetryAfterUnavailable);
  auto found = states_.find(name);
  if (found == states_.end() || !found->second.owned)
    return Refuse(RefusalReason::kNotOwner, kRetryAfterBusy);
  AdmissionState& state = found->second;
  if (auto refusal = RefuseIfUnavailable(*endpoint, state, now))
    return *refusal;
  if (request.deadline <= now)
    return Refuse(RefusalReason::kDeadlinePassed, kRetryAfterBusy);
  const int limit = Limit(*endpoint, state, now);
  const int load =
      static_cast<int>(state.queue.running() + state.inherited_load);
  if (load < limit && state.queue.waiting() == 0) {
    state.queue.Start(request, now);
    Publish(name, state, now);
    return Admit();
  }
  const Duration wait = state.queue.ExpectedWait(limit);
  if (wait > request.max_wait || request.max_wait == Duration::zero()) {
    return Refuse(RefusalReason::kEndpointBusy,
                  std::max(wait, kRetryAfterBusy));
  }
  if (state.queue.full())
    return Refuse(RefusalReason::kQueueFull, std::max(wait, kRetryAfterBusy));
  if (now + wait >= request.deadline)
    return Refuse(RefusalReason::kDeadlineTooShort, wait);
  state.queue.Enqueue(request, now);
  return {AdmissionVerdict::kQueued, {}, {}};
}

std::vector<QueueResult> AdmissionController::End(const std::string& name,
                                                  CallId id,
                                                  Timestamp now) {
  std::vector<QueueResult> results;
  auto found = states_.find(name);
  if (found == states_.end())
    return results;
  found->second.queue.Remove(id, now);
  Publish(name, found->second, now);
  AdmitWaiting(name, found->second, now, &results);
  return results;
}

std::vector<QueueResult> AdmissionController::Tick(Timestamp now) {
  UpdateOwnership(now);
  std::vector<QueueResult> results;
  for (auto& [name, state] : states_) {
    for (const AdmissionRequest& expired : state.queue.TakeExpired(now)) {
      const RefusalReason reason = expired.deadline <= now
                                       ? RefusalReason::kDeadlinePassed
                                       : RefusalReason::kEndpointBusy;
      results.push_back({expired.id, Refuse(reason, kRetryAfterBusy)});
    }
    if (state.owned && state.guarded)
      UpdatePreviousOwner(name, state);
    Publish(name, state, now);
    AdmitWaiting(name, state, now, &results);
  }
  return results;
}

std::vector<RequestHandOver> AdmissionController::PendingHandOvers() const {
  std::vector<RequestHandOver> requests;
  for (const auto& [name, state] : states_) {
    if (!state.owned || (!state.guarded && state.inherited_load == 0))
      continue;
    const Member* previous = fleet_.membership->Find(state.previous_owner);
    if (previous && previous->status != MemberStatus::kDead)
      requests.push_back({name, state.previous_owner});
  }
  return requests;
}

void AdmissionController::OnHandedOver(const std::string& name,
                                       const std::string& previous_owner,
                                       const HandOverResult& result,
                                       Timestamp now) {
  auto found = states_.find(name);
  if (found == states_.end() || !found->second.owned)
    return;
  AdmissionState& state = found->second;
  if (!state.guarded) {
    if (result.handed_over)
      state.inherited_load = std::min(state.inherited_load, result.load);
    return Publish(name, state, now);
  }
  if (!result.hands_over) {
    state.not_previous_owner = previous_owner;
    if (state.previous_owner == previous_owner)
      state.previous_owner.clear();
    return;
  }
  const uint32_t own = state.queue.running();
  // If this node handed the endpoint over to that peer before, the peer's load
  // includes this node's running calls.
  const bool includes_own = state.handed_to == previous_owner;
  state.inherited_load = includes_own
                             ? result.load - std::min(own, result.load)
                             : std::max(state.inherited_load, result.load);
  LiftGuard(state);
  Publish(name, state, now);
}

HandOverResult AdmissionController::HandOver(const std::string& name,
                                             const std::string& new_owner,
                                             Timestamp now) {
  auto found = states_.find(name);
  if (found == states_.end())
    return {};
  AdmissionState& state = found->second;
  HandOverResult result;
  result.load = state.queue.running() + state.inherited_load;
  result.hands_over = state.is_exclusive_owner;
  result.handed_over = state.handed_to == new_owner;
  if (!result.hands_over) {
    // Both nodes may be waiting to take the endpoint over. This node extends
    // its guard, so that the requesting node takes it over first.
    state.guarded_until =
        std::max(state.guarded_until, now + 2 * timing_.guard_time);
    return result;
  }
  state.is_exclusive_owner = false;
  state.handed_to = new_owner;
  if (!state.owned)
    return result;
  // If this node is still the owner in its own view, it has to request the
  // endpoint back before it admits calls.
  state.guarded = true;
  state.guarded_until = now + timing_.guard_time;
  state.previous_owner = new_owner;
  return result;
}

void AdmissionController::OnEndpointReport(const std::string& name,
                                           const EndpointReport& report,
                                           Timestamp now) {
  auto found = states_.find(name);
  if (found == states_.end() || !found->second.owned)
    return;
  AdmissionState& state = found->second;
  state.unreachable_until.reset();
  state.slow_start.OnReport(report.temperature, timing_.report_lag, now);
  // Once the guard time has passed, the previous owner can no longer start
  // calls, and the endpoint's report shows how many of that node's calls are
  // left. Calls that this node started after the report was made are not
  // included in it.
  if (now < state.guarded_until)
    return Publish(name, state, now);
  const uint32_t own = state.queue.RunningStartedBy(now - timing_.report_lag);
  const uint32_t others = report.running > own ? report.running - own : 0;
  if (!state.guarded) {
    state.inherited_load = std::min(state.inherited_load, others);
  } else if (!PreviousOwnerMayAdmit(state)) {
    state.inherited_load = others;
    LiftGuard(state);
  }
  Publish(name, state, now);
}

void AdmissionController::OnEndpointUnreachable(const std::string& name,
                                                Timestamp now) {
  auto found = states_.find(name);
  if (found == states_.end())
    return;
  found->second.unreachable_until = now + kUnreachableBackoff;
  // The endpoint may come back as a restarted process with nothing loaded.
  found->second.slow_start = SlowStart::Unknown();
}

void AdmissionController::OnFirstByte(const std::string& name,
                                      Duration latency,
                                      Timestamp now) {
  auto found = states_.find(name);
  const Endpoint* endpoint = fleet_.directory->Find(name);
  if (found == states_.end() || !endpoint)
    return;
  const EndpointPolicy* policy = fleet_.PolicyOf(*endpoint);
  if (policy)
    found->second.slow_start.OnFirstByte(latency, *policy, now);
}

std::vector<std::string> AdmissionController::OwnedEndpoints() const {
  std::vector<std::string> names;
  for (const auto& [name, state] : states_) {
    if (state.owned)
      names.push_back(name);
  }
  return names;
}

bool AdmissionController::IsGuarded(const std::string& endpoint) const {
  auto found = states_.find(endpoint);
  return found != states_.end() && found->second.guarded;
}

size_t AdmissionController::AdmittingCount() const {
  return static_cast<size_t>(
      std::count_if(states_.begin(), states_.end(), [](const auto& item) {
        return item.second.owned && !item.second.guarded;
      }));
}

uint32_t AdmissionController::RunningTotal() const {
  uint32_t total = 0;
  for (const auto& [name, state] : states_)
    total += state.queue.running();
  return total;
}

void AdmissionController::UpdateOwnership(Timestamp now) {
  GuardWhileNotInGoodStanding(now);
  const uint64_t members = fleet_.membership->revision() + 1;
  const uint64_t endpoints = fleet_.directory->version() + 1;
  if (members == seen_membership_revision_ &&
      endpoints == seen_directory_version_)
    return;
  seen_membership_revision_ = members;
  seen_directory_version_ = endpoints;
  std::erase_if(states_, [this](const auto& item) {
    const EndpointQueue& queue = item.second.queue;
    return !fleet_.directory->Find(item.first) && queue.running() == 0 &&
           queue.waiting() == 0;
  });
  const Member& self = fleet_.membership->self();
  for (const auto& [name, endpoint] : fleet_.directory->all()) {
    const Member* owner = owners_.OwnerOf(endpoint);
    const bool is_owner = owner && owner->name == self.name;
    auto found = states_.find(name);
    if (is_owner && (found == states_.end() || !found->second.owned))
      BecomeOwner(endpoint, states_[name], now);
    else if (!is_owner && found != states_.end())
      found->second.owned = false;
  }
}

void AdmissionController::GuardWhileNotInGoodStanding(Timestamp now) {
  if (fleet_.membership->InGoodStanding(now))
    return;
  const std::string& self = fleet_.membership->self().name;
  for (auto& [name, state] : states_) {
    state.is_exclusive_owner = false;
    state.guarded = true;
    state.guarded_until = now + timing_.guard_time;
    state.not_previous_owner.clear();
    // The node that owns the endpoint when this node is dead may have taken it
    // over.
    const Endpoint* endpoint = fleet_.directory->Find(name);
    const Member* successor =
        endpoint ? owners_.OwnerExcluding(self, *endpoint) : nullptr;
    if (successor)
      state.previous_owner = successor->name;
  }
}

void AdmissionController::UpdatePreviousOwner(const std::string& name,
                                              AdmissionState& state) const {
  const EndpointLoad* known = loads_->Find(name);
  const bool is_other = known &&
                        known->owner != fleet_.membership->self().name &&
                        known->owner != state.not_previous_owner;
  if (is_other)
    state.previous_owner = known->owner;
}

void AdmissionController::BecomeOwner(const Endpoint& endpoint,
                                      AdmissionState& state,
                                      Timestamp now) {
  state.owned = true;
  state.guarded = true;
  state.guarded_until = now + timing_.guard_time;
  state.inherited_load = 0;
  state.previous_owner.clear();
  state.not_previous_owner.clear();
  const EndpointLoad* known = loads_->Find(endpoint.name);
  if (!known)
    return;
  UpdatePreviousOwner(endpoint.name, state);
  const uint32_t own = state.queue.running();
  state.inherited_load = known->load > own ? known->load - own : 0;
  if (known->temperature == EndpointTemperature::kWarm)
    state.slow_start = SlowStart::AlreadyWarm();
}

void AdmissionController::LiftGuard(AdmissionState& state) {
  state.guarded = false;
  state.is_exclusive_owner = true;
  state.handed_to.clear();
}

bool AdmissionController::PreviousOwnerMayAdmit(
    const AdmissionState& state) const {
  const Member* previous = fleet_.membership->Find(state.previous_owner);
  return previous && previous->name != fleet_.membership->self().name &&
         previous->status != MemberStatus::kDead;
}

int AdmissionController::Limit(const Endpoint& endpoint,
                               const AdmissionState& state,
                               Timestamp now) const {
  const EndpointPolicy* policy = fleet_.PolicyOf(endpoint);
  if (!policy)
    return 0;
  return std::min(state.slow_start.Limit(*policy, now),
                  fleet_.LoadBoundOf(endpoint, *policy, now));
}

std::optional<AdmissionDecision> AdmissionController::RefuseIfUnavailable(
    const Endpoint& endpoint,
    const AdmissionState& state,
    Timestamp now) const {
  const auto configuration = fleet_.configuration->current();
  if (!configuration || !fleet_.PolicyOf(endpoint))
    return Refuse(RefusalReason::kNotReady, kRetryAfterUnavailable);
  if (!EndpointDirectory::AcceptsNewRequests(endpoint, *configuration))
    return Refuse(RefusalReason::kEndpointOut, kRetryAfterUnavailable);
  if (state.guarded || !fleet_.membership->InGoodStanding(now))
    return Refuse(RefusalReason::kOwnerGuarded, kRetryAfterBusy);
  if (state.unreachable_until && now < *state.unreachable_until)
    return Refuse(RefusalReason::kEndpointUnreachable, kUnreachableBackoff);
  return std::nullopt;
}

void AdmissionController::Publish(const std::string& name,
                                  const AdmissionState& state,
                                  Timestamp now) {
  // Until the hand-over, the previous owner's report is more accurate.
  if (!state.owned || state.guarded)
    return;
  const EndpointLoad* known = loads_->Find(name);
  const uint64_t clock =
      sequence_origin_ + static_cast<uint64_t>(now.time_since_epoch().count());
  const uint64_t sequence =
      known ? std::max(clock, known->sequence + 1) : clock;
  loads_->Merge({name, fleet_.membership->self().name,
                 state.queue.running() + state.inherited_load,
                 state.slow_start.temperature(), sequence},
                now);
}

void AdmissionController::AdmitWaiting(const std::string& name,
                                       AdmissionState& state,
                                       Timestamp now,
                                       std::vector<QueueResult>* results) {
  const Endpoint* endpoint = fleet_.directory->Find(name);
  std::optional<AdmissionDecision> refusal;
  if (!endpoint || !state.owned)
    refusal = Refuse(RefusalReason::kNotOwner, kRetryAfterBusy);
  else
    refusal = RefuseIfUnavailable(*endpoint, state, now);
  if (refusal) {
    for (CallId id : state.queue.TakeAllWaiting())
      results->push_back({id, *refusal});
    return;
  }
  while (state.queue.waiting() > 0) {
    const int load =
        static_cast<int>(state.queue.running() + state.inherited_load);
    if (load >= Limit(*endpoint, state, now))
      return;
    const std::optional<AdmissionRequest> next = state.queue.TakeNext();
    state.queue.Start(*next, now);
    Publish(name, state, now);
    results->push_back({next->id, Admit()});
  }
}

}  // namespace teaselthread
