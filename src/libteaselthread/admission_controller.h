#ifndef TEASELTHREAD_ADMISSION_CONTROLLER_H_
#define TEASELTHREAD_ADMISSION_CONTROLLER_H_

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libteaselthread/endpoint_queue.h"
#include "libteaselthread/membership/fleet_view.h"
#include "libteaselthread/membership/owner_index.h"
#include "libteaselthread/requests/reasons.h"
#include "libteaselthread/slow_start.h"

namespace teaselthread {

enum class AdmissionVerdict : uint8_t { kAdmitted, kQueued, kRefused };

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  RefusalReason reason = RefusalReason::kNoEndpoint;  // if refused
  Duration retry_after{};                             // if refused

  friend auto operator<=>(const AdmissionDecision&,
                          const AdmissionDecision&) = default;
};

// The decision on a call that has left an endpoint's queue.
struct QueueResult {
  CallId id = 0;
  AdmissionDecision decision;

  friend auto operator<=>(const QueueResult&, const QueueResult&) = default;
};

// A request to the previous owner to hand an endpoint over, or, after the
// hand-over, to report how many of its calls are still running there.
struct RequestHandOver {
  std::string endpoint;
  std::string previous_owner;

  friend auto operator<=>(const RequestHandOver&,
                          const RequestHandOver&) = default;
};

// A node's reply to the request to hand an endpoint over.
struct HandOverResult {
  // Whether the replying node was the exclusive owner until now, so that no
  // other node can have admitted calls. Only then may the requesting node admit
  // calls at once.
  bool hands_over = false;
  // Whether the replying node had already handed the endpoint over to the
  // requesting node.
  bool handed_over = false;
  // Calls that the replying node admitted or inherited and that are still
  // running.
  uint32_t load = 0;

  friend auto operator<=>(const HandOverResult&,
                          const HandOverResult&) = default;
};

// An endpoint's reply to a poll of its load.
struct EndpointReport {
  uint32_t running = 0;
  EndpointTemperature temperature = EndpointTemperature::kCold;

  friend auto operator<=>(const EndpointReport&,
                          const EndpointReport&) = default;
};

struct AdmissionTiming {
  // Time after which a previous owner without contact has fenced itself.
  Duration guard_time;
  Duration report_lag;  // maximum age of an endpoint's load report
};

// Admits calls to the endpoints that this node owns, within the load bound and
// the cold limit, and queues the calls that wait for them. A new owner guards
// an endpoint, that is, admits nothing, until the previous owner has handed it
// over. If the previous owner is dead, the guard lasts until that node must
// have fenced itself and the endpoint has then reported how many of its calls
// are still running.
class AdmissionController {
 public:
  // `sequence_origin` is the wall clock time, in microseconds, at Timestamp
  // zero.
  AdmissionController(FleetView fleet,
                      LoadTable* loads,
                      AdmissionTiming timing,
                      uint64_t sequence_origin);

  AdmissionDecision Submit(const std::string& endpoint,
                           const AdmissionRequest& request,
                           Timestamp now);
  // Ends a running call, or removes a waiting call that was cancelled.
  std::vector<QueueResult> End(const std::string& endpoint,
                               CallId id,
                               Timestamp now);
  // Applies changes of the members, the endpoints and the configuration,
  // removes waiting calls that have expired, and admits waiting calls to free
  // slots.
  std::vector<QueueResult> Tick(Timestamp now);

  // Hand-overs to request now.
  std::vector<RequestHandOver> PendingHandOvers() const;
  void OnHandedOver(const std::string& endpoint,
                    const std::string& previous_owner,
                    const HandOverResult& result,
                    Timestamp now);
  // `new_owner` requests the endpoint.
  HandOverResult HandOver(const std::string& endpoint,
                          const std::string& new_owner,
                          Timestamp now);

  void OnEndpointReport(const std::string& endpoint,
                        const EndpointReport& report,
                        Timestamp now);
  void OnEndpointUnreachable(const std::string& endpoint, Timestamp now);
  void OnFirstByte(const std::string& endpoint,
                   Duration latency,
                   Timestamp now);

  std::vector<std::string> OwnedEndpoints() const;
  bool IsGuarded(const std::string& endpoint) const;
  // The number of owned endpoints that are not guarded.
  size_t AdmittingCount() const;
  uint32_t RunningTotal() const;

 private:
  struct AdmissionState {
    EndpointQueue queue;
    SlowStart slow_start;
    bool owned = false;
    bool guarded = false;
    Timestamp guarded_until{};
    std::string previous_owner;
    // Whether no other node can have admitted calls since this node's guard
    // was lifted.
    bool is_exclusive_owner = false;
    std::string handed_to;  // the node that this node handed over to
    // The node that has replied that it was not the owner.
    std::string not_previous_owner;
    // Calls that a previous owner admitted and that are still running.
    uint32_t inherited_load = 0;
    std::optional<Timestamp> unreachable_until;
  };

  void UpdateOwnership(Timestamp now);
  // While this node has too little contact, peers may have taken over its
  // endpoints, so it has to acquire them again once it is back in contact.
  void GuardWhileNotInGoodStanding(Timestamp now);
  void UpdatePreviousOwner(const std::string& name,
                           AdmissionState& state) const;
  void BecomeOwner(const Endpoint& endpoint,
                   AdmissionState& state,
                   Timestamp now);
  bool PreviousOwnerMayAdmit(const AdmissionState& state) const;
  static void LiftGuard(AdmissionState& state);
  int Limit(const Endpoint& endpoint,
            const AdmissionState& state,
            Timestamp now) const;
  // The refusal that holds whatever the load is, if there is one.
  std::optional<AdmissionDecision> RefuseIfUnavailable(
      const Endpoint& endpoint,
      const AdmissionState& state,
      Timestamp now) const;
  void Publish(const std::string& endpoint,
               const AdmissionState& state,
               Timestamp now);
  void AdmitWaiting(const std::string& name,
                    AdmissionState& state,
                    Timestamp now,
                    std::vector<QueueResult>* results);

  FleetView fleet_;
  OwnerIndex owners_;
  LoadTable* loads_;
  AdmissionTiming timing_;
  uint64_t sequence_origin_;
  uint64_t seen_membership_revision_ = 0;
  uint64_t seen_directory_version_ = 0;
  std::map<std::string, AdmissionState> states_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ADMISSION_CONTROLLER_H_
