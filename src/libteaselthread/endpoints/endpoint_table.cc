#include "libteaselthread/endpoints/endpoint_table.h"

#include <algorithm>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

// Added to a cold start, as this node may learn of its beginning late.
constexpr Duration kColdMargin = std::chrono::milliseconds(1'000);
// An endpoint that fails less often than this is not ejected.
constexpr double kMinToleratedFailureRate = 0.35;
// Failures that peers have too are not held against an endpoint.
constexpr double kPeerRateMultiple = 1.5;

// Counts that are passed on are no older; requests of most kinds have ended or
// begun anew by then.
constexpr Duration kNewsLifetime = std::chrono::milliseconds(1'500);
// Fewer requests than the slack of the load bound change no decision.
constexpr uint32_t kMinNewsRequests = 4;

}  // namespace

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
    // An older incarnation's late entry says nothing about this one.
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
  Forget(found);
}

void EndpointTable::SetEvacuatedZones(std::set<std::string> zones,
                                      Timestamp now) {
  for (auto& [id, entry] : endpoints_) {
    const EndpointRecord& record = entry.endpoint->record();
    const bool is_back =
        evacuated_zones_.contains(record.zone) && !zones.contains(record.zone);
    const Duration cold_start = ColdStartOf(record.service);
    if (is_back && cold_start > Duration::zero())
      entry.endpoint->ExtendCold(now + cold_start + kColdMargin);
  }
  evacuated_zones_ = std::move(zones);
}

void EndpointTable::SetServices(const RouteTable& routes) {
  for (const ServiceSpec& service : routes.parts().services)
    cold_starts_[service.name] = service.cold_start;
}

void EndpointTable::Sweep(Timestamp now) {
  if (now < defer_until_)
    return;
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();)
    entry = entry->second.removal_pending ? Forget(entry) : std::next(entry);
}

EndpointTable::Entries::iterator EndpointTable::Forget(
    Entries::iterator entry) {
  ids_.erase(ShortHash(entry->first));
  return endpoints_.erase(entry);
}

std::vector<EndpointPtr> EndpointTable::Available(
    const std::string& service) const {
  std::vector<EndpointPtr> available;
  for (const auto& [id, entry] : endpoints_) {
    if (entry.endpoint->record().service == service &&
        MayReceive(*entry.endpoint)) {
      available.push_back(entry.endpoint);
    }
  }
  return available;
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

uint32_t EndpointTable::LocalRequests(const std::string& service) const {
  uint32_t total = 0;
  for (const auto& [id, entry] : endpoints_) {
    if (entry.endpoint->record().service == service)
      total += entry.endpoint->local_requests();
  }
  return total;
}

std::vector<LoadUpdate> EndpointTable::BusiestEndpoints(size_t most,
                                                        Timestamp now) const {
  std::vector<LoadUpdate> busiest;
  for (const auto& [id, entry] : endpoints_) {
    const auto count = entry.endpoint->LatestCount(kNewsLifetime, now);
    if (count && count->requests >= kMinNewsRequests)
      busiest.push_back({ShortHash(id), count->requests, now - count->at});
  }
  const auto end =
      busiest.begin() + static_cast<ptrdiff_t>(std::min(most, busiest.size()));
  std::partial_sort(busiest.begin(), end, busiest.end(),
                    [](const LoadUpdate& a, const LoadUpdate& b) {
                      return a.requests > b.requests;
                    });
  busiest.erase(end, busiest.end());
  return busiest;
}

void EndpointTable::OnLoadUpdate(const LoadUpdate& update, Timestamp now) {
  const auto id = ids_.find(update.endpoint);
  if (id == ids_.end())
    return;
  const auto found = endpoints_.find(id->second);
  if (found != endpoints_.end())
    found->second.endpoint->OnReport({update.requests, 0}, now - update.age);
}

bool EndpointTable::MayReceive(const EndpointState& endpoint) const {
  const EndpointRecord& record = endpoint.record();
  const auto found = endpoints_.find(record.id);
  return found != endpoints_.end() &&
         found->second.endpoint.get() == &endpoint && !record.draining &&
         !evacuated_zones_.contains(record.zone);
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
  const double peers = count > 0 ? sum / count : 0;
  return std::max(kMinToleratedFailureRate,
                  kMinToleratedFailureRate + kPeerRateMultiple * peers);
}

Duration EndpointTable::ColdStartOf(const std::string& service) const {
  const auto found = cold_starts_.find(service);
  return found == cold_starts_.end() ? Duration::zero() : found->second;
}

}  // namespace teaselthread
