#ifndef TEASELTHREAD_ENDPOINTS_ENDPOINT_TABLE_H_
#define TEASELTHREAD_ENDPOINTS_ENDPOINT_TABLE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libteaselthread/endpoints/endpoint_announcements.h"
#include "libteaselthread/endpoints/endpoint_state.h"
#include "libteaselthread/rate_limits/rate_limit_table.h"
#include "libteaselthread/routes/route_table.h"

namespace teaselthread {

using EndpointPtr = std::shared_ptr<EndpointState>;

// Why an endpoint must not get new requests, whatever its load and health.
enum class UnusableReason : uint8_t {
  kUnregistered,
  kDraining,   // as its record in the store says
  kLeaving,    // as it has announced itself
  kEvacuated,  // its availability zone is
  kPaused,     // it has asked for a pause
};
std::string_view ToString(UnusableReason reason);

// The endpoints that are registered in the platform's store, and which of them
// are draining or may receive requests.
//
// Load pattern: releases, scale-out and scale-in under traffic, evacuations,
// and store outages. Entries that expired during an outage are registered
// again, so removals are deferred for some time after the store is reachable.
class EndpointTable {
 public:
  // Applies a complete list and removes endpoints that are not in it. Endpoints
  // in the first list were already running, so only those whose records say so
  // are cold.
  void ReplaceAll(const std::vector<EndpointRecord>& records, Timestamp now);
  void Put(const EndpointRecord& record, Timestamp now);
  void Remove(const std::string& id, Timestamp now);
  void SetEvacuatedZones(std::set<std::string> zones, Timestamp now);
  void SetServices(const RouteTable& routes);
  // Defers removals until `until`. A removal is cancelled if the endpoint is
  // registered again before that.
  void DeferRemovals(Timestamp until) { defer_until_ = until; }
  // Carries out deferred removals that are due.
  void Sweep(Timestamp now);

  // What the endpoints have said in their responses.
  EndpointAnnouncements& announcements() { return announcements_; }
  RateLimitTable& rate_limits() { return rate_limits_; }
  const RateLimitTable& rate_limits() const { return rate_limits_; }

  // Endpoints of a service that may receive new requests.
  std::vector<EndpointPtr> Available(const std::string& service,
                                     Timestamp now) const;
  // The time until the first of the service's paused endpoints wants requests
  // again. Empty if none of them is paused.
  std::optional<Duration> ShortestPause(const std::string& service,
                                        Timestamp now) const;
  // All running endpoints of a service, including draining ones.
  std::vector<EndpointPtr> Running(const std::string& service) const;
  // Calls `visit` for the running endpoints of all services.
  void ForEachRunning(
      const std::function<void(const EndpointRecord&)>& visit) const;
  // The earliest start (Unix milliseconds) of a service's running endpoints of
  // a version. Empty if none is known.
  std::optional<uint64_t> EarliestStart(const std::string& service,
                                        const std::string& version) const;
  // Local requests in progress at the endpoints of a service.
  uint32_t LocalRequests(const std::string& service) const;
  // The endpoints with the highest load according to recent counts, at most
  // `max_count` of them.
  std::vector<LoadUpdate> BusiestEndpoints(size_t max_count,
                                           Timestamp now) const;
  // Adds to `updates` the endpoints not in it that have recently reported an
  // unusual speed, those furthest from the usual one first, at most `max_count`
  // of them. Adds none if no endpoint reports its speed.
  void AppendUnusualSpeeds(size_t max_count,
                           Timestamp now,
                           std::vector<LoadUpdate>* updates) const;
  // The time that a request usually takes at the endpoints of a plain service.
  UsualWorkTime& WorkTimeOf(const std::string& service) {
    return work_times_[service];
  }
  // How slow the fastest endpoint of a service is that may receive new
  // requests; 1 if there is none.
  double LeastSlowness(const std::string& service, Timestamp now) const;
  // Applies an endpoint's load as received from another node. Unknown endpoints
  // are ignored.
  void OnLoadUpdate(const LoadUpdate& update, Timestamp now);
  // Applies what another node tells of a rate limit. Returns how the knowledge
  // of it has changed, and the endpoint if it is known.
  struct RateLimitResult {
    RateLimitChange change = RateLimitChange::kNone;
    EndpointPtr endpoint;
  };
  RateLimitResult OnRateLimitUpdate(const RateLimitUpdate& update,
                                    Timestamp now);
  // What this node's shares of rate limits leave room for at the endpoints of a
  // service that may receive new requests and are not `excluded`.
  RateLimitRoom RoomUnderRateLimits(const std::string& service,
                                    const std::set<std::string>& excluded,
                                    Timestamp now) const;
  // Empty if the endpoint may receive new requests at the moment.
  std::optional<UnusableReason> WhyUnusable(const EndpointState& endpoint,
                                            Timestamp now) const;
  // Whether the endpoint will not get new requests any more.
  bool IsLeaving(const EndpointState& endpoint) const;
  // Whether an incarnation that has started after `time_ms` (Unix time) is
  // registered with the endpoint's id or address.
  bool IsReplaced(const EndpointState& endpoint, uint64_t time_ms) const;
  const std::set<std::string>& evacuated_zones() const {
    return evacuated_zones_;
  }
  size_t size() const { return endpoints_.size(); }
  // Failure rate up to which the endpoint is not ejected. It rises with the
  // mean failure rate of the service's other endpoints.
  double ToleratedFailureRate(const EndpointState& endpoint) const;

 private:
  struct Entry {
    EndpointPtr endpoint;
    bool removal_pending = false;
  };

  using Entries = std::map<std::string, Entry>;  // by id

  void Add(const EndpointRecord& record, Duration cold, Timestamp now);
  Duration ColdStartOf(const std::string& service) const;
  // Null if no endpoint with that ShortHash is known.
  EndpointPtr FindByHash(uint32_t hash) const;
  // Returns the entry after the erased one.
  Entries::iterator Erase(Entries::iterator entry);

  Entries endpoints_;
  std::map<uint32_t, std::string> ids_;  // by ShortHash
  EndpointAnnouncements announcements_;
  RateLimitTable rate_limits_;
  std::set<std::string> evacuated_zones_;
  std::map<std::string, Duration> cold_starts_;      // by service
  std::map<std::string, UsualWorkTime> work_times_;  // by service
  Timestamp defer_until_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_ENDPOINT_TABLE_H_
