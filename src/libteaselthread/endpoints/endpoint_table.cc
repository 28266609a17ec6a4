#include "libteaselthread/endpoints/endpoint_table.h"

#include <algorithm>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

// Added to a cold-start period, since this node may learn late that it began.
constexpr Duration kColdMargin = std::chrono::milliseconds(1'000);
// An endpoint that fails less often than this is not ejected.
constexpr double kMinToleratedFailureRate = 0.35;
// Raises the tolerated failure rate by this multiple of the other endpoints'
// mean rate: failures that are common to the service's endpoints do not count
// against one of them.
constexpr double kOthersRateMultiple = 1.5;

// Older counts are not sent to other nodes: in that time most requests have
// ended and others have started.
constexpr Duration kMaxLoadUpdateAge = std::chrono::milliseconds(1'500);
// Endpoints with fewer requests are not reported: a load up to the slack of the
// load bound does not affect selection.
constexpr uint32_t kMinLoadUpdateRequests = 4;
// Speeds that differ less from the usual one are not sent on their own: they
// change the expected time less than a way to another zone does.
constexpr uint32_t kUsualPercent = 100;
constexpr uint32_t kMinSpeedDifference = 20;

uint32_t SpeedDifference(uint32_t percent) {
  return percent > kUsualPercent ? percent - kUsualPercent
                                 : kUsualPercent - percent;
}

}  // namespace

std::string_view ToString(UnusableReason reason) {
  constexpr std::string_view kNames[] = {"unregistered", "draining", "leaving",
                                         "evacuated", "paused"};
  return kNames[static_cast<size_t>(reason)];
}

void EndpointTable::ReplaceAll(const std::vector<EndpointRecord>& records,
                               Timestamp now) {
  const bool is_first = endpoints_.empty();
  std::set<std::string> listed;
  for (const EndpointRecord& record : records) {
    if (is_first)
      Add(record, record.cold_left, now);
    else
      Put(record, now);
    listed.insert(record.id);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : endpoints_) {
    if (!listed.contains(id))
      missing.push_back(id);
  }
  for (const std::string& id : missing)
    Remove(id, now);
}

void EndpointTable::Put(const EndpointRecord& record, Timestamp now) {
  const auto found = endpoints_.find(record.id);
  if (found != endpoints_.end()) {
    const EndpointRecord& known = found->second.endpoint->record();
    if (record.started_at_ms == known.started_at_ms) {
      found->second.endpoint->Update(record, now);
      found->second.removal_pending = false;
      return;
    }
    // A late record of an older incarnation does not apply to this one.
    if (record.started_at_ms < known.started_at_ms)
      return;
  }
  Add(record, std::max(record.cold_left, ColdStartOf(record.service)), now);
}

void EndpointTable::Add(const EndpointRecord& record,
                        Duration cold,
                        Timestamp now) {
  const Timestamp cold_until =
      cold > Duration::zero() ? now + cold + kColdMargin : now;
  ids_[ShortHash(record.id)] = record.id;
  endpoints_[record.id] = {
      std::make_shared<EndpointState>(record, now, cold_until), false};
}

void EndpointTable::Remove(const std::string& id, Timestamp now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end())
    return;
  if (now < defer_until_) {
    found->second.removal_pending = true;
    return;
  }
  Erase(found);
}

void EndpointTable::SetEvacuatedZones(std::set<std::string> zones,
                                      Timestamp now) {
  for (auto& [id, entry] : endpoints_) {
    const EndpointRecord& record = entry.endpoint->record();
    const bool is_readmitted =
        evacuated_zones_.contains(record.zone) && !zones.contains(record.zone);
    const Duration cold_start = ColdStartOf(record.service);
    if (is_readmitted && cold_start > Duration::zero())
      entry.endpoint->ExtendCold(now + cold_start + kColdMargin);
  }
  evacuated_zones_ = std::move(zones);
}

void EndpointTable::SetServices(const RouteTable& routes) {
  for (const ServiceSpec& service : routes.parts().services)
    cold_starts_[service.name] = service.cold_start;
}

void EndpointTable::Sweep(Timestamp now) {
  announcements_.Sweep(now);
  rate_limits_.Sweep(
      [this](const std::string& id) { return endpoints_.contains(id); }, now);
  if (now < defer_until_)
    return;
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();)
    entry = entry->second.removal_pending ? Erase(entry) : std::next(entry);
}

EndpointTable::Entries::iterator EndpointTable::Erase(Entries::iterator entry) {
  ids_.erase(ShortHash(entry->first));
  return endpoints_.erase(entry);
}

std::vector<EndpointPtr> EndpointTable::Available(const std::string& service,
                                                  Timestamp now) const {
  std::vector<EndpointPtr> available = Running(service);
  std::erase_if(available, [&](const EndpointPtr& endpoint) {
    return WhyUnusable(*endpoint, now).has_value();
  });
  return available;
}

std::optional<Duration> EndpointTable::ShortestPause(const std::string& service,
                                                     Timestamp now) const {
  std::optional<Duration> shortest;
  for (const EndpointPtr& endpoint : Running(service)) {
    if (WhyUnusable(*endpoint, now) != UnusableReason::kPaused)
      continue;
    const Duration left = announcements_.PauseLeft(endpoint->record(), now);
    shortest = std::min(shortest.value_or(left), left);
  }
  return shortest;
}

std::vector<EndpointPtr> EndpointTable::Running(
    const std::string& service) const {
  std::vector<EndpointPtr> running;
  for (const auto& [id, entry] : endpoints_) {
    if (entry.endpoint->record().service == service)
      running.push_back(entry.endpoint);
  }
  return running;
}

void EndpointTable::ForEachRunning(
    const std::function<void(const EndpointRecord&)>& visit) const {
  for (const auto& [id, entry] : endpoints_)
    visit(entry.endpoint->record());
}

std::optional<uint64_t> EndpointTable::EarliestStart(
    const std::string& service,
    const std::string& version) const {
  std::optional<uint64_t> earliest;
  for (const EndpointPtr& endpoint : Running(service)) {
    const EndpointRecord& record = endpoint->record();
    if (record.version == version && record.started_at_ms > 0)
      earliest = std::min(earliest.value_or(record.started_at_ms),
                          record.started_at_ms);
  }
  return earliest;
}

uint32_t EndpointTable::LocalRequests(const std::string& service) const {
  uint32_t total = 0;
  for (const auto& [id, entry] : endpoints_) {
    if (entry.endpoint->record().service == service)
      total += entry.endpoint->local_requests();
  }
  return total;
}

std::vector<LoadUpdate> EndpointTable::BusiestEndpoints(size_t max_count,
                                                        Timestamp now) const {
  std::vector<LoadUpdate> busiest;
  for (const auto& [id, entry] : endpoints_) {
    const auto count = entry.endpoint->LatestCount(kMaxLoadUpdateAge, now);
    if (count && count->requests >= kMinLoadUpdateRequests)
      busiest.push_back(
          {ShortHash(id), count->requests, now - count->at, count->percent});
  }
  const auto end = busiest.begin() +
                   static_cast<ptrdiff_t>(std::min(max_count, busiest.size()));
  std::partial_sort(busiest.begin(), end, busiest.end(),
                    [](const LoadUpdate& a, const LoadUpdate& b) {
                      return a.requests > b.requests;
                    });
  busiest.erase(end, busiest.end());
  return busiest;
}

void EndpointTable::AppendUnusualSpeeds(
    size_t max_count,
    Timestamp now,
    std::vector<LoadUpdate>* updates) const {
  std::set<uint32_t> present;
  for (const LoadUpdate& update : *updates)
    present.insert(update.endpoint);
  std::vector<std::pair<uint32_t, LoadUpdate>> unusual;  // by difference
  for (const auto& [id, entry] : endpoints_) {
    const auto count = entry.endpoint->LatestCount(kMaxLoadUpdateAge, now);
    if (!count || !count->percent || present.contains(ShortHash(id)))
      continue;
    // A figure that is usual again is passed on until others can have learned
    // it, too.
    const uint32_t difference =
        std::max(SpeedDifference(*count->percent),
                 SpeedDifference(static_cast<uint32_t>(
                     kUsualPercent * entry.endpoint->speed().Slowness(now))));
    if (difference < kMinSpeedDifference)
      continue;
    unusual.emplace_back(
        difference, LoadUpdate{ShortHash(id), count->requests, now - count->at,
                               count->percent});
  }
  const size_t count = std::min(max_count, unusual.size());
  const auto end = unusual.begin() + static_cast<ptrdiff_t>(count);
  std::partial_sort(
      unusual.begin(), end, unusual.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  for (auto update = unusual.begin(); update != end; ++update)
    updates->push_back(update->second);
}

double EndpointTable::LeastSlowness(const std::string& service,
                                    Timestamp now) const {
  std::optional<double> least;
  for (const EndpointPtr& endpoint : Available(service, now)) {
    const double slowness = endpoint->speed().Slowness(now);
    least = std::min(least.value_or(slowness), slowness);
  }
  return least.value_or(1);
}

void EndpointTable::OnLoadUpdate(const LoadUpdate& update, Timestamp now) {
  if (const EndpointPtr endpoint = FindByHash(update.endpoint)) {
    endpoint->OnReport({update.requests, 0, std::nullopt, update.percent},
                       now - update.age);
  }
}

EndpointTable::RateLimitResult EndpointTable::OnRateLimitUpdate(
    const RateLimitUpdate& update,
    Timestamp now) {
  EndpointPtr endpoint = FindByHash(update.endpoint);
  if (!endpoint)
    return {};
  const RateLimitChange change =
      rate_limits_.OnUpdate(endpoint->record(), update, now);
  return {change, std::move(endpoint)};
}

RateLimitRoom EndpointTable::RoomUnderRateLimits(
    const std::string& service,
    const std::set<std::string>& excluded,
    Timestamp now) const {
  using Seconds = std::chrono::duration<double>;
  RateLimitRoom room;
  for (const EndpointPtr& endpoint : Available(service, now)) {
    const EndpointRecord& record = endpoint->record();
    const auto status = rate_limits_.StatusOf(record, now);
    if (!status || excluded.contains(record.id))
      continue;
    const RateAllowance allowance = RateAllowance::For(status->rate);
    room.own_rate += status->share.requests / Seconds(allowance.window).count();
    room.mean_rate += status->rate / status->share.nodes;
    const auto next = rate_limits_.NextSendAt(record, now);
    if (!next)
      continue;
    const Duration left = std::max(Duration::zero(), *next - now);
    room.until_next = std::min(room.until_next.value_or(left), left);
  }
  return room;
}

EndpointPtr EndpointTable::FindByHash(uint32_t hash) const {
  const auto id = ids_.find(hash);
  if (id == ids_.end())
    return nullptr;
  const auto found = endpoints_.find(id->second);
  return found == endpoints_.end() ? nullptr : found->second.endpoint;
}

std::optional<UnusableReason> EndpointTable::WhyUnusable(
    const EndpointState& endpoint,
    Timestamp now) const {
  const EndpointRecord& record = endpoint.record();
  const auto found = endpoints_.find(record.id);
  if (found == endpoints_.end() || found->second.endpoint.get() != &endpoint)
    return UnusableReason::kUnregistered;
  if (record.draining)
    return UnusableReason::kDraining;
  if (announcements_.IsLeaving(record))
    return UnusableReason::kLeaving;
  if (evacuated_zones_.contains(record.zone))
    return UnusableReason::kEvacuated;
  if (announcements_.PauseLeft(record, now) > Duration::zero())
    return UnusableReason::kPaused;
  return std::nullopt;
}

bool EndpointTable::IsLeaving(const EndpointState& endpoint) const {
  return endpoint.record().draining ||
         announcements_.IsLeaving(endpoint.record());
}

bool EndpointTable::IsReplaced(const EndpointState& endpoint,
                               uint64_t time_ms) const {
  const EndpointRecord& record = endpoint.record();
  return std::any_of(
      endpoints_.begin(), endpoints_.end(), [&](const auto& item) {
        const EndpointRecord& other = item.second.endpoint->record();
        return other.started_at_ms > std::max(record.started_at_ms, time_ms) &&
               (other.id == record.id || other.address == record.address);
      });
}

double EndpointTable::ToleratedFailureRate(
    const EndpointState& endpoint) const {
  double sum = 0;
  int count = 0;
  for (const auto& [id, entry] : endpoints_) {
    const EndpointState& other = *entry.endpoint;
    if (&other == &endpoint ||
        other.record().service != endpoint.record().service) {
      continue;
    }
    sum += other.health().failure_rate();
    ++count;
  }
  const double others_rate = count > 0 ? sum / count : 0;
  return std::max(kMinToleratedFailureRate,
                  kMinToleratedFailureRate + kOthersRateMultiple * others_rate);
}

Duration EndpointTable::ColdStartOf(const std::string& service) const {
  const auto found = cold_starts_.find(service);
  return found == cold_starts_.end() ? Duration::zero() : found->second;
}

}  // namespace teaselthread
