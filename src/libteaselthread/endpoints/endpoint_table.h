#ifndef TEASELTHREAD_ENDPOINTS_ENDPOINT_TABLE_H_
#define TEASELTHREAD_ENDPOINTS_ENDPOINT_TABLE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libteaselthread/endpoints/endpoint_state.h"
#include "libteaselthread/routes/route_table.h"

namespace teaselthread {

using EndpointPtr = std::shared_ptr<EndpointState>;

// Which endpoints exist, leave and may be sent to, by the platform's store.
//
// Load pattern: releases, scale-out and scale-in under traffic, evacuations,
// and a store that was away: entries that lapsed meanwhile come back, so that
// removals are put off for a while after its return.
class EndpointTable {
 public:
  // A whole list. What it does not name is removed. Endpoints of the first list
  // were there before; only those that say so are cold.
  void ReplaceAll(const std::vector<EndpointRecord>& records, Timestamp now);
  void Put(const EndpointRecord& record, Timestamp now);
  void Remove(const std::string& id, Timestamp now);
  void SetEvacuatedZones(std::set<std::string> zones, Timestamp now);
  void SetServices(const RouteTable& routes);
  // Removals before `until` take effect then, unless the entry is back.
  void DeferRemovals(Timestamp until) { defer_until_ = until; }
  // Carries out deferred removals.
  void Sweep(Timestamp now);

  // Endpoints of a service that may get new work.
  std::vector<EndpointPtr> Available(const std::string& service) const;
  // All endpoints of a service that are running, leaving ones included.
  std::vector<EndpointPtr> Running(const std::string& service) const;
  // This node's own requests under way at endpoints of a service.
  uint32_t LocalRequests(const std::string& service) const;
  // The endpoints that are most loaded by recent counts, at most `most`.
  std::vector<LoadUpdate> BusiestEndpoints(size_t most, Timestamp now) const;
  // What another node has told about one; unknown endpoints are passed over.
  void OnLoadUpdate(const LoadUpdate& update, Timestamp now);
  // Whether new work may go to it at this moment.
  bool MayReceive(const EndpointState& endpoint) const;
  const std::set<std::string>& evacuated_zones() const {
    return evacuated_zones_;
  }
  size_t size() const { return endpoints_.size(); }
  // Mean failure rate of the service's other endpoints, as an excuse.
  double ToleratedFailureRate(const EndpointState& endpoint) const;

 private:
  struct Entry {
    EndpointPtr endpoint;
    bool removal_pending = false;
  };

  using Entries = std::map<std::string, Entry>;  // by id

  void Add(const EndpointRecord& record, Duration cold, Timestamp now);
  Duration ColdStartOf(const std::string& service) const;
  // Gives the entry after it.
  Entries::iterator Forget(Entries::iterator entry);

  Entries endpoints_;
  std::map<uint32_t, std::string> ids_;  // by ShortHash
  std::set<std::string> evacuated_zones_;
  std::map<std::string, Duration> cold_starts_;  // by service
  Timestamp defer_until_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_ENDPOINT_TABLE_H_
