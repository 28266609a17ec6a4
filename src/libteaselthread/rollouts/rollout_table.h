#ifndef TEASELTHREAD_ROLLOUTS_ROLLOUT_TABLE_H_
#define TEASELTHREAD_ROLLOUTS_ROLLOUT_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libteaselthread/endpoints/endpoint_table.h"
#include "libteaselthread/endpoints/version_rule.h"
#include "libteaselthread/rollouts/rollout.h"
#include "libteaselthread/rollouts/route_times.h"

namespace teaselthread {

// How a request ended at an endpoint.
struct ResponseOutcome {
  enum class Kind : uint8_t {
    kAnswered,
    kFailed,  // the endpoint ran it, or broke off
    kUnreachable,
    kAbandoned,  // the caller has left before the response
    kNotRun,
  };
  Kind kind = Kind::kNotRun;
  Duration time{};             // to the response or its first event
  bool is_timed = false;       // the time can be compared with the usual one
  bool is_other_zone = false;  // the endpoint is in another zone than this node

  friend auto operator<=>(const ResponseOutcome&,
                          const ResponseOutcome&) = default;
};

// A state to write to the store.
struct RolloutWrite {
  std::string name;  // of the object
  RolloutStatus status;
  uint64_t revision = 0;  // that the decision was based on

  friend auto operator<=>(const RolloutWrite&, const RolloutWrite&) = default;
};

// The orders to move services to other versions, and which versions may get
// requests.
//
// Load pattern: orders for several services at the same time, which are
// changed, taken back and repeated by operators.
class RolloutTable {
 public:
  // `start`: a random number that differs between the node's processes.
  RolloutTable(const RolloutLimits& limits,
               std::string node,
               uint32_t start,
               const EndpointTable* endpoints);

  bool enabled() const { return limits_.enabled(); }

  // The store was restored from an older copy: its revisions have gone back.
  void OnStoreRestored();
  // An order as read from the store. A revision that is not newer than the
  // known one of the same object is ignored. Returns whether it is a new order.
  bool Put(const RolloutOrder& order, Timestamp now);
  void Remove(const std::string& name);

  // Rules for a request, to be tried in this order until one leaves an
  // endpoint. Empty if all versions may get it. `nodes` share the slack.
  std::vector<VersionRule> RulesFor(const std::string& service,
                                    uint32_t route,
                                    size_t nodes,
                                    Timestamp now) const;
  // Routes are hashes of their names.
  void OnSend(const std::string& service,
              uint32_t route,
              const std::string& version);
  void OnEnd(const std::string& service,
             uint32_t route,
             const EndpointRecord& endpoint,
             const ResponseOutcome& outcome);

  struct StageChange {
    const Rollout* rollout;
    RolloutStage from;
  };
  std::vector<StageChange> Advance(const RolloutFleet& fleet, Timestamp now);
  std::vector<RolloutWrite> WantedWrites(const RolloutFleet& fleet,
                                         Timestamp now) const;
  // The write is about to be sent.
  void OnWrite(const RolloutWrite& write);

  // Reports for all peers: verdicts only.
  std::vector<RolloutReport> Verdicts(Timestamp now) const;
  // Reports with this node's counters, for nodes of its zone.
  std::vector<RolloutReport> OwnReports(Timestamp now);
  // Reports with the counters of the whole zone, for the other zones.
  std::vector<RolloutReport> ZoneReports(const RolloutFleet& fleet,
                                         Timestamp now);
  // Returns whether the report has a new verdict.
  bool OnReport(const RolloutReport& report, Timestamp now);

  // The order for a service, or null.
  const Rollout* Find(const std::string& service) const;
  const std::map<std::string, Rollout>& rollouts() const { return rollouts_; }

 private:
  // Versions of a service that are not, or no longer, in use.
  struct Versions {
    std::set<std::string> barred;
    // The version of the last completed order, if there is a later order.
    std::optional<std::string> base;
  };

  Rollout* FindOpen(const std::string& service);
  // The order has been replaced or removed.
  void Close(const Rollout& rollout);
  VersionRule OldVersions(const Rollout& rollout) const;
  std::set<std::string> CanaryEndpoints(const Rollout& rollout,
                                        Timestamp now) const;
  bool HasRoom(const Rollout& rollout, Timestamp now) const;
  uint32_t OldRequests(const Rollout& rollout) const;
  RolloutReport MakeReport(const Rollout& rollout, Timestamp now);

  RolloutLimits limits_;
  std::string node_;
  uint32_t start_;
  const EndpointTable* endpoints_;
  uint64_t sequence_ = 0;
  std::map<std::string, Rollout> rollouts_;    // by name of the object
  std::map<std::string, uint64_t> revisions_;  // of removed objects too
  std::map<std::string, Versions> versions_;   // by service
  RouteTimes route_times_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROLLOUTS_ROLLOUT_TABLE_H_
