#include "libteaselthread/rollouts/rollout_evidence.h"

#include <algorithm>

namespace teaselthread {
namespace {

// Bounds the memory if a node restarts again and again.
constexpr size_t kMaxNodes = 1'024;
constexpr size_t kMaxZones = 16;

}  // namespace

void RolloutEvidence::OnReport(const RolloutReport& report, Timestamp now) {
  if (!report.has_counters)
    return;
  if (report.zone.empty()) {
    const NodeKey key(report.sender, report.start);
    if (nodes_.size() >= kMaxNodes && !nodes_.contains(key))
      return;
    Source& source = nodes_[key];
    Update(report, report.sequence > source.newest_sequence, now, &source);
    return;
  }
  if (zones_.size() >= kMaxZones && !zones_.contains(report.zone))
    return;
  Source& source = zones_[report.zone];
  const bool is_same_sender = source.latest.sender == report.sender &&
                              source.latest.start == report.start;
  // Reports of two senders about one zone have no common order. The younger
  // evidence is the newer one.
  const bool is_newer = is_same_sender
                            ? report.sequence > source.newest_sequence
                            : now - report.age >= source.evidence_at;
  Update(report, is_newer, now, &source);
}

void RolloutEvidence::Update(const RolloutReport& report,
                             bool is_newer,
                             Timestamp now,
                             Source* source) {
  if (report.counters.ResponseCount() > source->counters.ResponseCount())
    source->counters = report.counters;
  if (!is_newer)
    return;
  source->latest = report;
  source->newest_sequence = report.sequence;
  source->evidence_at = now - report.age;
}

RolloutCounters RolloutEvidence::ZoneCounters() const {
  RolloutCounters sum = own_;
  for (const auto& [key, source] : nodes_)
    sum += source.counters;
  return sum;
}

RolloutCounters RolloutEvidence::FleetCounters() const {
  RolloutCounters sum = ZoneCounters();
  for (const auto& [zone, source] : zones_)
    sum += source.counters;
  return sum;
}

const RolloutEvidence::Source* RolloutEvidence::NewestOf(
    const std::string& node) const {
  const Source* newest = nullptr;
  for (auto found = nodes_.lower_bound({node, 0});
       found != nodes_.end() && found->first.first == node; ++found) {
    if (!newest || newest->evidence_at < found->second.evidence_at)
      newest = &found->second;
  }
  return newest;
}

void RolloutEvidence::AddTo(const Source* source,
                            Timestamp now,
                            Coverage* coverage) {
  if (!source || now - source->evidence_at > kMaxAge) {
    coverage->is_complete = false;
    return;
  }
  coverage->all_shifted = coverage->all_shifted && source->latest.shifted;
  coverage->old_requests += source->latest.old_requests;
  coverage->age = std::max(coverage->age, now - source->evidence_at);
}

RolloutEvidence::Coverage RolloutEvidence::ZoneCoverage(
    const RolloutFleet& fleet,
    Timestamp now) const {
  Coverage coverage;
  coverage.is_complete = true;
  for (const std::string& node : fleet.zone_nodes)
    AddTo(NewestOf(node), now, &coverage);
  return coverage;
}

RolloutEvidence::Coverage RolloutEvidence::FleetCoverage(
    const RolloutFleet& fleet,
    Timestamp now) const {
  Coverage coverage = ZoneCoverage(fleet, now);
  for (const std::string& zone : fleet.other_zones) {
    const auto found = zones_.find(zone);
    const Source* source = found == zones_.end() ? nullptr : &found->second;
    AddTo(source, now, &coverage);
    if (source && !source->latest.is_complete)
      coverage.is_complete = false;
  }
  return coverage;
}

bool RolloutEvidence::IsFirstLeader(const std::string& node,
                                    Timestamp now) const {
  return std::none_of(zones_.begin(), zones_.end(), [&](const auto& item) {
    const Source& source = item.second;
    return now - source.evidence_at <= kMaxAge && source.latest.sender < node;
  });
}

}  // namespace teaselthread
