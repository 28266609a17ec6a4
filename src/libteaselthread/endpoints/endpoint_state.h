#ifndef TEASELTHREAD_ENDPOINTS_ENDPOINT_STATE_H_
#define TEASELTHREAD_ENDPOINTS_ENDPOINT_STATE_H_

#include <deque>
#include <optional>

#include "libteaselthread/endpoints/cold_start_quota.h"
#include "libteaselthread/endpoints/endpoint_health.h"
#include "libteaselthread/endpoints/endpoint_record.h"
#include "libteaselthread/endpoints/endpoint_speed.h"
#include "libteaselthread/endpoints/token_room.h"

namespace teaselthread {

// One incarnation of an endpoint, with this node's estimate of its load and
// health.
class EndpointState {
 public:
  EndpointState(EndpointRecord record, Timestamp seen_at, Timestamp cold_until);

  const EndpointRecord& record() const { return record_; }
  Timestamp seen_at() const { return seen_at_; }
  bool IsCold(Timestamp now) const { return now < cold_until_; }
  uint32_t local_requests() const { return local_requests_; }
  const EndpointSpeed& speed() const { return speed_; }
  // For model engines.
  TokenRoom& tokens() { return tokens_; }
  const TokenRoom& tokens() const { return tokens_; }
  // The requests that it runs concurrently, at least 1: as it has last reported
  // itself, or else as registered.
  uint32_t slots() const;
  EndpointHealth& health() { return health_; }
  const EndpointHealth& health() const { return health_; }
  ColdStartQuota& cold_quota() { return cold_quota_; }
  const ColdStartQuota& cold_quota() const { return cold_quota_; }

  // Once set, `draining` stays set for the rest of the incarnation.
  void Update(const EndpointRecord& record, Timestamp now);
  void ExtendCold(Timestamp until);

  // Estimated requests at the endpoint from all nodes: the local requests plus
  // those of other nodes that the endpoint's latest report counted. The weight
  // of the latter decreases with the age of the report.
  double EstimatedLoad(Timestamp now) const;

  // The requests of other nodes by the latest count, without regard to its age.
  // Empty if there is none, or if it is so old that it says nothing.
  std::optional<double> RemoteRequests(Timestamp now) const;
  // Local requests with tokens that were sent after the latest count; those of
  // the last seconds if there is none.
  uint32_t SendsSinceCount() const;

  void OnSend(Timestamp now);
  void OnEnd(Timestamp now);
  // Stores the endpoint's count of its requests unless a later one is known.
  void OnReport(const LoadReport& report, Timestamp reported_at);
  // The latest count and its time, if it is no older than `max_age`.
  struct CountedRequests {
    uint32_t requests = 0;
    Timestamp at{};
    std::optional<uint32_t> percent{};  // of the endpoint's speed
  };
  std::optional<CountedRequests> LatestCount(Duration max_age,
                                             Timestamp now) const;

 private:
  EndpointRecord record_;
  Timestamp seen_at_;
  Timestamp cold_until_;
  uint32_t local_requests_ = 0;
  std::deque<Timestamp> sends_;  // of recent local requests
  std::deque<Timestamp> ends_;
  double remote_requests_ = 0;  // at the time of the latest count
  std::optional<CountedRequests> latest_count_;
  std::optional<uint32_t> reported_slots_;
  EndpointSpeed speed_;
  TokenRoom tokens_;
  EndpointHealth health_;
  ColdStartQuota cold_quota_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_ENDPOINT_STATE_H_
