#ifndef TEASELTHREAD_ROLLOUTS_ROLLOUT_EVIDENCE_H_
#define TEASELTHREAD_ROLLOUTS_ROLLOUT_EVIDENCE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "libteaselthread/rollouts/rollout_counters.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// What a node has found about the target version of an order.
enum class RolloutVerdict : uint8_t { kNone, kGood, kBad };
inline constexpr uint8_t kRolloutVerdictCount = 3;

// A node's report about one order, or that of an availability zone's nodes
// together.
struct RolloutReport {
  uint32_t order = 0;  // hash of its service and target
  // The revision of the object at which the sender first knew the order.
  uint64_t order_revision = 0;
  Duration order_age{};  // time since the sender, or another, first knew it
  RolloutVerdict verdict = RolloutVerdict::kNone;

  // The rest is empty in a report that only tells the verdict.
  bool has_counters = false;
  std::string sender;     // name of the node
  std::string zone;       // only in the report of a zone
  uint32_t start = 0;     // random number of the sender's process
  uint64_t sequence = 0;  // of the sender's reports since its start
  RolloutCounters counters;
  // Requests in progress at endpoints of other versions.
  uint32_t old_requests = 0;
  bool shifted = false;  // the sender, or each node of the zone, has shifted
  // For a zone: all of its live nodes are included.
  bool is_complete = false;
  Duration age{};  // of the oldest part

  friend auto operator<=>(const RolloutReport&, const RolloutReport&) = default;
};

// The live nodes whose evidence is needed for a decision.
struct RolloutFleet {
  std::string zone;                   // this node's own
  std::set<std::string> zone_nodes;   // live ones, without this node
  std::set<std::string> other_zones;  // with live nodes
  size_t nodes = 1;                   // of the fleet that may be alive
  bool is_zone_leader = false;

  friend auto operator<=>(const RolloutFleet&, const RolloutFleet&) = default;
};

// The evidence on the target version of one order: this node's own, that of the
// other nodes of its zone, and the sums of the other zones. Counters are
// cumulative: those with more responses replace the others of the same sender
// and start, so that reports may be late, lost, repeated or reordered.
//
// Load pattern: hundreds of nodes with lossy links, some of which restart while
// an order is open.
class RolloutEvidence {
 public:
  // Evidence that is older decides nothing in favour of a version.
  static constexpr Duration kMaxAge = std::chrono::seconds(2);

  RolloutCounters& own() { return own_; }
  const RolloutCounters& own() const { return own_; }

  // The report must be about the order that the evidence is for.
  void OnReport(const RolloutReport& report, Timestamp now);

  // This node's zone, and the whole fleet, as far as they are known.
  RolloutCounters ZoneCounters() const;
  RolloutCounters FleetCounters() const;
  // State of the nodes that a decision depends on.
  struct Coverage {
    bool is_complete = false;  // all live nodes' evidence is recent
    bool all_shifted = true;   // as far as is known
    uint32_t old_requests = 0;
    Duration age{};  // of the oldest part

    friend auto operator<=>(const Coverage&, const Coverage&) = default;
  };
  Coverage ZoneCoverage(const RolloutFleet& fleet, Timestamp now) const;
  Coverage FleetCoverage(const RolloutFleet& fleet, Timestamp now) const;
  // Whether no zone leader that precedes `node` by name has reported recently.
  bool IsFirstLeader(const std::string& node, Timestamp now) const;

 private:
  struct Source {
    RolloutReport latest;
    uint64_t newest_sequence = 0;
    Timestamp evidence_at{};
    RolloutCounters counters;
  };
  // By sender and start.
  using NodeKey = std::pair<std::string, uint32_t>;

  static void Update(const RolloutReport& report,
                     bool is_newer,
                     Timestamp now,
                     Source* source);
  static void AddTo(const Source* source, Timestamp now, Coverage* coverage);
  const Source* NewestOf(const std::string& node) const;

  RolloutCounters own_;
  std::map<NodeKey, Source> nodes_;      // of this zone
  std::map<std::string, Source> zones_;  // the other ones
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROLLOUTS_ROLLOUT_EVIDENCE_H_
