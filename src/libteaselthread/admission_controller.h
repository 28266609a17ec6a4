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

// The end of a call's wait in a queue.
struct QueueResult {
  CallId id = 0;
  AdmissionDecision decision;

  friend auto operator<=>(const QueueResult&, const QueueResult&) = default;
};

// Asks the previous owner to hand an endpoint over, or, when it has done so,
// how much of its work still runs there.
struct RequestHandOver {
  std::string endpoint;
  std::string previous_owner;

  friend auto operator<=>(const RequestHandOver&,
                          const RequestHandOver&) = default;
};

// What a node answers that is asked to hand an endpoint over.
struct HandOverAnswer {
  // Whether it was the owner until now, so that nobody else can have admitted
  // anything. Only then does the asking node become the owner at once.
  bool hands_over = false;
  // Whether the asking node is the one that it has handed over to before.
  bool handed_over = false;
  uint32_t load = 0;  // of its work that still runs

  friend auto operator<=>(const HandOverAnswer&,
                          const HandOverAnswer&) = default;
};

// What an endpoint says of itself when asked.
struct EndpointReport {
  uint32_t running = 0;
  EndpointTemperature temperature = EndpointTemperature::kCold;

  friend auto operator<=>(const EndpointReport&,
                          const EndpointReport&) = default;
};

struct AdmissionTiming {
  Duration guard_time;  // until a dead previous owner must have fenced itself
  Duration report_lag;  // how old an endpoint's report of itself may be
};

// Admits all work to the endpoints that this node owns, within the load bound
// and the cold limit, and keeps what waits for them. A node that becomes an
// endpoint's owner admits nothing until the previous owner has handed over, or
// is dead, must have fenced itself, and the endpoint has then reported what is
// left of its work.
class AdmissionController {
 public:
  // `sequence_origin` is the wall clock, in microseconds, at Timestamp zero.
  AdmissionController(FleetView fleet,
                      LoadTable* loads,
                      AdmissionTiming timing,
                      uint64_t sequence_origin);

  AdmissionDecision Submit(const std::string& endpoint,
                           const AdmissionRequest& request,
                           Timestamp now);
  // The call has ended or has been given up, running or waiting.
  std::vector<QueueResult> End(const std::string& endpoint,
                               CallId id,
                               Timestamp now);
  // Follows members and configuration, expires waits, fills free places.
  std::vector<QueueResult> Tick(Timestamp now);

  // Hand-overs to ask for now.
  std::vector<RequestHandOver> PendingHandOvers() const;
  void OnHandedOver(const std::string& endpoint,
                    const std::string& previous_owner,
                    const HandOverAnswer& answer,
                    Timestamp now);
  // Another node has become the owner.
  HandOverAnswer HandOver(const std::string& endpoint,
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
  // Owned endpoints whose guard has been lifted.
  size_t AdmittingCount() const;
  uint32_t RunningTotal() const;

 private:
  struct Site {
    EndpointQueue queue;
    SlowStart slow_start;
    bool owned = false;
    bool guarded = false;
    Timestamp guarded_until{};
    std::string previous_owner;
    // Whether nobody else can have admitted anything since this node did.
    bool holds = false;
    std::string handed_to;        // the node that took over from this one
    std::string not_predecessor;  // it has said that it was not the owner
    uint32_t foreign_load = 0;    // admitted by a previous owner, still running
    std::optional<Timestamp> unreachable_until;
  };

  void FollowOwnership(Timestamp now);
  // Others may have taken over what this node owns, so it has to acquire it
  // anew once it is back in contact.
  void GuardWhileOutOfStanding(Timestamp now);
  void FindPredecessor(const std::string& name, Site& site) const;
  void BecomeOwner(const Endpoint& endpoint, Site& site, Timestamp now);
  bool PredecessorMayAdmit(const Site& site) const;
  static void LiftGuard(Site& site);
  int Limit(const Endpoint& endpoint, const Site& site, Timestamp now) const;
  std::optional<AdmissionDecision> RefuseAtOnce(const Endpoint& endpoint,
                                                const Site& site,
                                                Timestamp now) const;
  void Publish(const std::string& endpoint, const Site& site, Timestamp now);
  void FillPlaces(const std::string& name,
                  Site& site,
                  Timestamp now,
                  std::vector<QueueResult>* results);

  FleetView fleet_;
  OwnerIndex owners_;
  LoadTable* loads_;
  AdmissionTiming timing_;
  uint64_t sequence_origin_;
  uint64_t followed_members_ = 0;
  uint64_t followed_endpoints_ = 0;
  std::map<std::string, Site> sites_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ADMISSION_CONTROLLER_H_
