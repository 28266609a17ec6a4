#include "teaselthread/gateway/rollout_controller.h"

#include <algorithm>

namespace teaselthread {
namespace {

constexpr Duration kAdvanceInterval = std::chrono::milliseconds(100);
// Counters are sent each time this share of the rollback bound has passed, as
// they take two of these times to another zone and decide only while they are
// young.
constexpr int kReportsPerRollback = 10;
// The zone leader and its successors.
constexpr size_t kZoneReceivers = 3;
// A zone's sums go to this many gateways of the other zones at a time, in turn:
// about 1 KB/s.
constexpr size_t kRemoteReceivers = 4;

}  // namespace

void RolloutController::Start() {
  if (!state_->rollouts().enabled())
    return;
  heartbeat_->set_on_rollout_reports(
      [this](const std::vector<RolloutReport>& reports, bool is_zone_peer) {
        OnReports(reports, is_zone_peer);
      });
  state_->timers().Subscribe(kAdvanceInterval, state_->Now(),
                             [this](Timestamp) { Advance(); });
  const Duration interval =
      std::max(kAdvanceInterval,
               state_->settings().rollouts().rollback / kReportsPerRollback);
  state_->timers().Subscribe(interval, state_->Now(),
                             [this](Timestamp) { SendCounters(); });
}

void RolloutController::Advance() {
  if (state_->rollouts().rollouts().empty())
    return;
  const auto changes =
      state_->rollouts().Advance(state_->MakeRolloutFleet(), state_->Now());
  for (const RolloutTable::StageChange& change : changes) {
    LogStage(change);
    state_->metrics().OnRolloutStage(change.rollout->stage());
  }
  if (!changes.empty())
    SendVerdicts();
}

void RolloutController::SendVerdicts() {
  const Timestamp now = state_->Now();
  std::vector<SocketAddress> targets = state_->peers().ZoneTargets(now);
  for (const SocketAddress& target : state_->peers().RemoteTargets(now))
    targets.push_back(target);
  for (const RolloutReport& report : state_->rollouts().Verdicts(now))
    heartbeat_->SendReport(report, targets);
}

void RolloutController::SendCounters() {
  if (state_->rollouts().rollouts().empty())
    return;
  const Timestamp now = state_->Now();
  RolloutTable& rollouts = state_->rollouts();
  const std::vector<SocketAddress> zone =
      state_->peers().FirstOfZone(kZoneReceivers, now);
  for (const RolloutReport& report : rollouts.OwnReports(now))
    heartbeat_->SendReport(report, zone);
  const RolloutFleet fleet = state_->MakeRolloutFleet();
  if (!fleet.is_zone_leader)
    return;
  const std::vector<SocketAddress> remote = state_->peers().RemoteTargets(now);
  std::vector<SocketAddress> targets;
  for (size_t i = 0; i < std::min(kRemoteReceivers, remote.size()); ++i)
    targets.push_back(remote[(rounds_ + i) % remote.size()]);
  rounds_ += targets.size();
  for (const RolloutReport& report : rollouts.ZoneReports(fleet, now))
    heartbeat_->SendReport(report, targets);
}

void RolloutController::OnReports(const std::vector<RolloutReport>& reports,
                                  bool is_zone_peer) {
  const Timestamp now = state_->Now();
  bool has_new_verdict = false;
  for (const RolloutReport& report : reports) {
    const bool is_of_own_zone = report.zone == state_->settings().zone();
    if (is_of_own_zone)
      continue;
    has_new_verdict =
        state_->rollouts().OnReport(report, now) || has_new_verdict;
    if (!report.zone.empty() && !is_zone_peer) {
      heartbeat_->SendReport(report,
                             state_->peers().FirstOfZone(kZoneReceivers, now));
    }
  }
  // The next Advance tells the others too, but only some time later.
  if (has_new_verdict)
    Advance();
}

void RolloutController::LogStage(const RolloutTable::StageChange& change) {
  const Rollout& rollout = *change.rollout;
  const RouteCounters total = rollout.evidence().FleetCounters().Total();
  LogLine line("rollout-stage");
  line.Add("service", rollout.order().service)
      .Add("target", rollout.order().target)
      .Add("from", ToString(change.from))
      .Add("to", ToString(rollout.stage()))
      .Add("reason", ToString(rollout.reason()));
  if (const auto& bad = rollout.bad_verdict()) {
    line.Add("sign", ToString(bad->sign))
        .Add("all_routes", bad->all_routes)
        .Add("route", bad->route);
  }
  const auto add_side = [&](const std::string& name, const SideCounters& side) {
    line.Add(name + "_responses", side.responses)
        .Add(name + "_failures", side.failures)
        .Add(name + "_timed", side.timed)
        .Add(name + "_slow", side.slow);
  };
  add_side("old", total.old_side);
  add_side("target", total.target);
  const auto coverage = rollout.evidence().FleetCoverage(
      state_->MakeRolloutFleet(), state_->Now());
  line.Add("evidence_complete", coverage.is_complete)
      .AddTime("evidence_age", coverage.age)
      .Add("sends", rollout.canary_share().sends())
      .Add("target_sends", rollout.canary_share().target_sends());
  state_->log().Info(line);
}

}  // namespace teaselthread
