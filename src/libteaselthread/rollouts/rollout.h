#ifndef TEASELTHREAD_ROLLOUTS_ROLLOUT_H_
#define TEASELTHREAD_ROLLOUTS_ROLLOUT_H_

#include <optional>
#include <string>
#include <string_view>

#include "libteaselthread/rollouts/canary_share.h"
#include "libteaselthread/rollouts/rollout_evidence.h"
#include "libteaselthread/rollouts/version_test.h"

namespace teaselthread {

enum class RolloutStage : uint8_t { kCanary, kShifting, kCompleted, kReverted };
inline constexpr size_t kRolloutStageCount = 4;
std::string_view ToString(RolloutStage stage);

enum class StageReason : uint8_t {
  kOrdered,
  kStored,       // as the status in the store says
  kFoundBad,     // by the evidence that this node knows
  kReportedBad,  // by another node
  kGood,
  kDeadline,
};
std::string_view ToString(StageReason reason);

// All that the stage of an order depends on.
struct StageQuery {
  std::optional<RolloutState> state;  // in the store
  Duration duration{};
  Duration elapsed{};  // since the order
  bool found_bad = false;
  bool reported_bad = false;
  bool is_good = false;

  friend auto operator<=>(const StageQuery&, const StageQuery&) = default;
};

struct StageDecision {
  RolloutStage stage = RolloutStage::kCanary;
  StageReason reason = StageReason::kOrdered;

  friend auto operator<=>(const StageDecision&, const StageDecision&) = default;
};

// The same function at each node. The store's word is final, a sign of badness
// goes before a good verdict, and a good verdict before the deadline.
StageDecision DecideStage(const StageQuery& query);

// One order, from the time at which this node first knew it.
//
// Load pattern: good versions that must be completed before the deadline, and
// bad ones that must be stopped early, at nodes with very different traffic.
class Rollout {
 public:
  // `not_before`: the latest revision of the object at which it was not this
  // order. Reports of nodes that have known the order since that revision or an
  // earlier one are about a previous order. `rounding`: see CanaryShare.
  Rollout(RolloutOrder order,
          uint64_t not_before,
          const RolloutLimits& limits,
          double rounding,
          Timestamp now);

  const RolloutOrder& order() const { return order_; }
  RolloutStage stage() const { return decision_.stage; }
  StageReason reason() const { return decision_.reason; }
  const std::optional<BadVerdict>& bad_verdict() const { return bad_verdict_; }
  CanaryShare& canary_share() { return canary_share_; }
  const CanaryShare& canary_share() const { return canary_share_; }
  RolloutEvidence& evidence() { return evidence_; }
  const RolloutEvidence& evidence() const { return evidence_; }
  bool is_completing() const { return is_completing_; }
  void set_completing() { is_completing_ = true; }
  double ElapsedShare(Timestamp now) const;

  // Revisions before the next Update belong to another history of the store.
  void OnStoreRestored() { is_restored_ = true; }
  bool is_restored() const { return is_restored_; }
  // A later revision of the same order was read. Takes effect with Advance.
  void Update(RolloutOrder order);
  // Returns whether the verdict of another node was new.
  bool OnReport(const RolloutReport& report, Timestamp now);
  // Decides on the stage. `has_room`: the target's endpoints can take over the
  // traffic. Returns whether the stage has changed.
  bool Advance(const RolloutFleet& fleet, bool has_room, Timestamp now);
  // The state that this node is to write to the store, if any. `old_requests`:
  // this node's requests in progress at endpoints of other versions.
  std::optional<RolloutState> WantedState(const std::string& node,
                                          const RolloutFleet& fleet,
                                          uint32_t old_requests,
                                          Timestamp now) const;
  RolloutVerdict verdict() const;
  // A report that tells this node's verdict only.
  RolloutReport MakeReport(Timestamp now) const;

 private:
  bool IsGood(const RolloutFleet& fleet, bool has_room, Timestamp now) const;
  bool MayComplete(const RolloutFleet& fleet,
                   uint32_t old_requests,
                   Timestamp now) const;

  RolloutOrder order_;
  uint64_t not_before_;
  uint64_t first_revision_;
  Timestamp ordered_at_;
  CanaryShare canary_share_;
  RolloutEvidence evidence_;
  std::optional<BadVerdict> bad_verdict_;
  bool is_restored_ = false;
  bool reported_bad_ = false;
  bool is_good_ = false;
  bool is_completing_ = false;  // this node has decided to write that state
  StageDecision decision_;
  Timestamp stage_since_;
};

// Identifies an order in reports.
uint32_t OrderHash(const RolloutOrder& order);

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROLLOUTS_ROLLOUT_H_
