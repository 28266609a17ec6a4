#include "libteaselthread/rollouts/rollout.h"

#include <algorithm>
#include <utility>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The target gets only the canary share until so long before the deadline, but
// at least for half of the order's time. Some faults show late, and with all of
// the traffic a version would use up the operators' exposure bound within about
// a second (a tenth of the requests of 12 s).
constexpr Duration kShiftLead = milliseconds(3'600);
constexpr double kShiftLeadShare = 0.3;
// The target gets all traffic for this long before the order is completed, as
// some faults show only under load: at least this time, or a part of a short
// order.
constexpr Duration kMinShiftTime = seconds(1);
constexpr double kMinShiftShare = 0.08;
// So long before the deadline, the order is completed although requests are
// still in progress at old endpoints. The store may need most of it for a read
// and a write.
constexpr Duration kCompletionLead = seconds(2);
constexpr double kCompletionLeadShare = 0.16;
// A zone leader that is not the first writes after this time, if the state in
// the store is still the same.
constexpr Duration kOtherLeaderDelay = seconds(1);

// `time`, or a share of a short order's time.
Duration Limited(Duration time, double share, Duration duration) {
  return std::min(time, std::chrono::duration_cast<Duration>(duration * share));
}

}  // namespace

std::string_view ToString(RolloutStage stage) {
  constexpr std::string_view kNames[kRolloutStageCount] = {
      "canary", "shifting", "completed", "reverted"};
  return kNames[static_cast<size_t>(stage)];
}

std::string_view ToString(StageReason reason) {
  constexpr std::string_view kNames[] = {"ordered",      "stored", "found-bad",
                                         "reported-bad", "good",   "deadline"};
  return kNames[static_cast<size_t>(reason)];
}

StageDecision DecideStage(const StageQuery& query) {
  if (query.state == RolloutState::kCompleted)
    return {RolloutStage::kCompleted, StageReason::kStored};
  if (query.state == RolloutState::kReverted)
    return {RolloutStage::kReverted, StageReason::kStored};
  if (query.found_bad)
    return {RolloutStage::kReverted, StageReason::kFoundBad};
  if (query.reported_bad)
    return {RolloutStage::kReverted, StageReason::kReportedBad};
  if (query.is_good)
    return {RolloutStage::kShifting, StageReason::kGood};
  if (query.elapsed >= query.duration)
    return {RolloutStage::kReverted, StageReason::kDeadline};
  return {RolloutStage::kCanary, StageReason::kOrdered};
}

Rollout::Rollout(RolloutOrder order,
                 uint64_t not_before,
                 const RolloutLimits& limits,
                 double rounding,
                 Timestamp now)
    : order_(std::move(order)),
      not_before_(not_before),
      first_revision_(order_.revision),
      ordered_at_(now),
      canary_share_(limits, rounding),
      decision_(DecideStage(
          {order_.state(), order_.duration, {}, false, false, false})),
      stage_since_(now) {}

double Rollout::ElapsedShare(Timestamp now) const {
  if (order_.duration <= Duration::zero())
    return 1;
  return std::chrono::duration<double>(now - ordered_at_) / order_.duration;
}

void Rollout::Update(RolloutOrder order) {
  order_ = std::move(order);
  if (!std::exchange(is_restored_, false))
    return;
  not_before_ = 0;
  first_revision_ = order_.revision;
}

bool Rollout::OnReport(const RolloutReport& report, Timestamp now) {
  const bool is_same_order = report.order == OrderHash(order_) &&
                             report.order_revision > not_before_ &&
                             report.order_revision <= order_.revision;
  if (!is_same_order)
    return false;
  // Whoever knew the order first is closest to the time of the order.
  ordered_at_ = std::min(ordered_at_, now - report.order_age);
  evidence_.OnReport(report, now);
  const bool is_new =
      verdict() != RolloutVerdict::kBad && report.verdict > verdict();
  reported_bad_ = reported_bad_ || report.verdict == RolloutVerdict::kBad;
  is_good_ = is_good_ || report.verdict == RolloutVerdict::kGood;
  return is_new;
}

bool Rollout::Advance(const RolloutFleet& fleet, bool has_room, Timestamp now) {
  const bool is_open = !order_.is_closed() && !bad_verdict_ && !reported_bad_;
  if (is_open)
    bad_verdict_ = FindBad(evidence_.FleetCounters(), fleet.nodes);
  if (is_open && !bad_verdict_ && !is_good_)
    is_good_ = IsGood(fleet, has_room, now);
  const StageDecision decision =
      DecideStage({order_.state(), order_.duration, now - ordered_at_,
                   bad_verdict_.has_value(), reported_bad_, is_good_});
  const bool has_changed = decision.stage != decision_.stage;
  if (has_changed)
    stage_since_ = now;
  decision_ = decision;
  return has_changed;
}

bool Rollout::IsGood(const RolloutFleet& fleet,
                     bool has_room,
                     Timestamp now) const {
  const Duration elapsed = now - ordered_at_;
  const Duration earliest =
      order_.duration - Limited(kShiftLead, kShiftLeadShare, order_.duration);
  if (!has_room || elapsed < earliest || elapsed >= order_.duration)
    return false;
  return evidence_.FleetCoverage(fleet, now).is_complete &&
         HasProvenGood(evidence_.FleetCounters());
}

bool Rollout::MayComplete(const RolloutFleet& fleet,
                          uint32_t old_requests,
                          Timestamp now) const {
  const Duration min_shift_time =
      Limited(kMinShiftTime, kMinShiftShare, order_.duration);
  if (stage() != RolloutStage::kShifting || now - stage_since_ < min_shift_time)
    return false;
  const auto coverage = evidence_.FleetCoverage(fleet, now);
  if (!coverage.is_complete)
    return false;
  const Duration lead =
      Limited(kCompletionLead, kCompletionLeadShare, order_.duration);
  return now >= ordered_at_ + order_.duration - lead ||
         (coverage.all_shifted && coverage.old_requests + old_requests == 0);
}

std::optional<RolloutState> Rollout::WantedState(const std::string& node,
                                                 const RolloutFleet& fleet,
                                                 uint32_t old_requests,
                                                 Timestamp now) const {
  if (order_.is_closed())
    return std::nullopt;
  const bool is_first =
      fleet.is_zone_leader && evidence_.IsFirstLeader(node, now);
  const bool is_late_leader =
      fleet.is_zone_leader && now - stage_since_ >= kOtherLeaderDelay;
  switch (stage()) {
    case RolloutStage::kReverted:
      if (is_first || is_late_leader || bad_verdict_)
        return RolloutState::kReverted;
      break;
    case RolloutStage::kShifting:
      if (is_first && MayComplete(fleet, old_requests, now))
        return RolloutState::kCompleted;
      [[fallthrough]];
    case RolloutStage::kCanary:
      if (is_first && !order_.state())
        return RolloutState::kServing;
      break;
    case RolloutStage::kCompleted:
      break;
  }
  return std::nullopt;
}

RolloutVerdict Rollout::verdict() const {
  if (order_.is_closed())
    return RolloutVerdict::kNone;
  if (bad_verdict_ || reported_bad_)
    return RolloutVerdict::kBad;
  return is_good_ ? RolloutVerdict::kGood : RolloutVerdict::kNone;
}

RolloutReport Rollout::MakeReport(Timestamp now) const {
  RolloutReport report;
  report.order = OrderHash(order_);
  report.order_revision = first_revision_;
  report.order_age = now - ordered_at_;
  report.verdict = verdict();
  return report;
}

uint32_t OrderHash(const RolloutOrder& order) {
  return ShortHash(order.service + "\n" + order.target);
}

}  // namespace teaselthread
