#include "teaselthread/gateway/gateway_metrics.h"

#include <sstream>
#include <utility>

namespace teaselthread {
namespace {

constexpr std::string_view kKindNames[] = {"idempotent", "non-idempotent",
                                           "streaming"};

template <typename Value>
void Scalar(std::ostream& out,
            std::string_view name,
            std::string_view type,
            Value value) {
  out << "# TYPE teaselthread_" << name << " " << type << "\nteaselthread_"
      << name << " " << value << "\n";
}

template <typename Reason, size_t kCount>
void ByReason(std::ostream& out,
              std::string_view name,
              const std::array<uint64_t, kCount>& counts) {
  out << "# TYPE teaselthread_" << name << " counter\n";
  for (size_t i = 0; i < kCount; ++i) {
    out << "teaselthread_" << name << "{reason=\""
        << ToString(static_cast<Reason>(i)) << "\"} " << counts[i] << "\n";
  }
}

template <size_t kCount>
void Histograms(std::ostream& out,
                std::string_view name,
                const std::array<LatencyHistogram, kCount>& histograms) {
  out << "# TYPE teaselthread_" << name << " histogram\n";
  for (size_t kind = 0; kind < kCount; ++kind) {
    const LatencyHistogram& histogram = histograms[kind];
    const auto counts = histogram.CumulativeCounts();
    const std::string label = "kind=\"" + std::string(kKindNames[kind]) + "\"";
    for (size_t i = 0; i < counts.size(); ++i) {
      out << "teaselthread_" << name << "_bucket{" << label << ",le=\""
          << LatencyHistogram::kBounds[i] << "\"} " << counts[i] << "\n";
    }
    out << "teaselthread_" << name << "_bucket{" << label << ",le=\"+Inf\"} "
        << histogram.count() << "\nteaselthread_" << name << "_sum{" << label
        << "} " << histogram.sum_seconds() << "\nteaselthread_" << name
        << "_count{" << label << "} " << histogram.count() << "\n";
  }
}

void RolloutSides(std::ostream& out,
                  const std::vector<const Rollout*>& rollouts,
                  std::string_view name,
                  uint32_t (*count)(const SideCounters&)) {
  out << "# TYPE teaselthread_" << name << " gauge\n";
  for (const Rollout* rollout : rollouts) {
    const RouteCounters total = rollout->evidence().own().Total();
    for (const auto& [side, counters] : {std::pair("old", total.old_side),
                                         std::pair("target", total.target)}) {
      out << "teaselthread_" << name << "{service=\""
          << rollout->order().service << "\",side=\"" << side << "\"} "
          << count(counters) << "\n";
    }
  }
}

// This gateway's own requests. Values of an order start at 0.
void Rollouts(std::ostream& out, const std::vector<const Rollout*>& rollouts) {
  RolloutSides(out, rollouts, "rollout_responses",
               [](const SideCounters& side) { return side.responses; });
  RolloutSides(out, rollouts, "rollout_bad_responses",
               [](const SideCounters& side) { return side.bad(); });
  out << "# TYPE teaselthread_rollout_stage gauge\n";
  for (const Rollout* rollout : rollouts) {
    out << "teaselthread_rollout_stage{service=\"" << rollout->order().service
        << "\",target=\"" << rollout->order().target << "\",stage=\""
        << ToString(rollout->stage()) << "\"} 1\n";
  }
  out << "# TYPE teaselthread_rollout_share gauge\n";
  for (const Rollout* rollout : rollouts) {
    const CanaryShare& share = rollout->canary_share();
    out << "teaselthread_rollout_share{service=\"" << rollout->order().service
        << "\"} "
        << (share.sends() == 0
                ? 0.0
                : static_cast<double>(share.target_sends()) / share.sends())
        << "\n";
  }
}

}  // namespace

std::string_view ToString(ResponseEnd end) {
  constexpr std::string_view kNames[] = {"complete", "incomplete", "missing"};
  return kNames[static_cast<size_t>(end)];
}

void LatencyHistogram::Add(Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  ++count_;
  sum_seconds_ += seconds;
  for (size_t i = 0; i < kBuckets; ++i) {
    if (seconds <= kBounds[i]) {
      ++counts_[i];
      return;
    }
  }
}

std::array<uint64_t, LatencyHistogram::kBuckets>
LatencyHistogram::CumulativeCounts() const {
  std::array<uint64_t, kBuckets> cumulative = counts_;
  for (size_t i = 1; i < kBuckets; ++i)
    cumulative[i] += cumulative[i - 1];
  return cumulative;
}

void GatewayMetrics::OnRefusal(RefusalReason reason) {
  ++refusals_[static_cast<size_t>(reason)];
}

void GatewayMetrics::OnAttemptFailure(AttemptFailure failure, bool retried) {
  ++failures_[static_cast<size_t>(failure)];
  if (retried)
    ++retries_[static_cast<size_t>(failure)];
}

void GatewayMetrics::OnFirstByte(RequestKind kind, Duration latency) {
  first_byte_[static_cast<size_t>(kind)].Add(latency);
}

void GatewayMetrics::OnResponse(RequestKind kind, Duration latency) {
  responses_[static_cast<size_t>(kind)].Add(latency);
}

void GatewayMetrics::OnCrashEvidence(CrashVerdict verdict) {
  ++crash_evidence_[static_cast<size_t>(verdict)];
}

void GatewayMetrics::OnStoreCall(bool succeeded) {
  ++store_calls_;
  store_failures_ += succeeded ? 0 : 1;
}

void GatewayMetrics::OnHeartbeatSent(size_t bytes) {
  ++heartbeats_sent_;
  heartbeat_bytes_ += bytes;
}

std::string GatewayMetrics::Render(const GatewayGauges& gauges) const {
  std::ostringstream out;
  Scalar(out, "requests_read_total", "counter", requests_read_);
  ByReason<ResponseEnd>(out, "responses_total", response_ends_);
  ByReason<RefusalReason>(out, "refusals_total", refusals_);
  ByReason<AttemptFailure>(out, "attempt_failures_total", failures_);
  ByReason<AttemptFailure>(out, "retries_total", retries_);
  ByReason<SilenceDecision>(out, "silent_attempts_total", silences_);
  ByReason<OriginSource>(out, "streams_resumed_total", streams_resumed_);
  ByReason<ClosingReason>(out, "caller_connections_closed_total",
                          callers_closed_);
  ByReason<ConnectionEnd>(out, "caller_connection_ends_total",
                          connection_ends_);
  ByReason<CrashVerdict>(out, "crash_evidence_total", crash_evidence_);
  Histograms(out, "first_byte_seconds", first_byte_);
  Histograms(out, "request_seconds", responses_);
  Scalar(out, "unknown_outcomes_total", "counter", unknown_outcomes_);
  Scalar(out, "broken_streams_total", "counter", broken_streams_);
  Scalar(out, "endpoints_leaving_total", "counter", endpoints_leaving_);
  Scalar(out, "endpoint_pauses_total", "counter", endpoint_pauses_);
  ByReason<RateLimitChange>(out, "rate_limit_changes_total",
                            rate_limit_changes_);
  Scalar(out, "unreadable_rate_limits_total", "counter",
         unreadable_rate_limits_);
  Scalar(out, "rate_limited_endpoints_left_out_total", "counter",
         endpoints_left_out_);
  Scalar(out, "rate_limits", "gauge", gauges.rate_limits);
  Scalar(out, "hedges_sent_total", "counter", hedges_sent_);
  Scalar(out, "hedges_won_total", "counter", hedges_won_);
  Scalar(out, "hedges_cancelled_total", "counter", attempts_cancelled_);
  ByReason<HedgeDenial>(out, "hedges_denied_total", hedges_denied_);
  Scalar(out, "store_calls_total", "counter", store_calls_);
  Scalar(out, "store_failures_total", "counter", store_failures_);
  Scalar(out, "store_restorations_total", "counter", store_restorations_);
  Scalar(out, "unreadable_entries_total", "counter", unreadable_entries_);
  Scalar(out, "heartbeats_sent_total", "counter", heartbeats_sent_);
  Scalar(out, "heartbeat_bytes_total", "counter", heartbeat_bytes_);
  Scalar(out, "stream_reports_sent_total", "counter", stream_reports_sent_);
  Scalar(out, "stream_records_written_total", "counter",
         stream_records_written_);
  Scalar(out, "stream_records_read_total", "counter", stream_records_read_);
  Scalar(out, "streams_known", "gauge", gauges.streams_known);
  Scalar(out, "log_lines_dropped_total", "counter", gauges.log_lines_dropped);
  Scalar(out, "configuration_version", "gauge", gauges.configuration_version);
  Scalar(out, "configuration_age_seconds", "gauge",
         gauges.configuration_age_seconds);
  Scalar(out, "endpoints", "gauge", gauges.endpoints);
  Scalar(out, "peers_alive", "gauge", gauges.peers_alive);
  Scalar(out, "blocked_parts", "gauge", gauges.blocked_parts);
  Scalar(out, "requests_in_progress", "gauge", gauges.requests_in_progress);
  Scalar(out, "connections", "gauge", gauges.connections);
  Scalar(out, "connection_limit", "gauge", gauges.connection_limit);
  Scalar(out, "buffered_bytes", "gauge", gauges.buffered_bytes);
  Scalar(out, "buffer_limit_bytes", "gauge", gauges.buffer_limit_bytes);
  Scalar(out, "ready", "gauge", gauges.ready ? 1 : 0);
  if (!gauges.rollouts_enabled)
    return out.str();
  Rollouts(out, gauges.rollouts);
  out << "# TYPE teaselthread_rollout_decisions_total counter\n";
  for (size_t i = 0; i < kRolloutStageCount; ++i) {
    out << "teaselthread_rollout_decisions_total{stage=\""
        << ToString(static_cast<RolloutStage>(i)) << "\"} "
        << rollout_stages_[i] << "\n";
  }
  return out.str();
}

}  // namespace teaselthread
