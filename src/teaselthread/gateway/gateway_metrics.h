#ifndef TEASELTHREAD_GATEWAY_GATEWAY_METRICS_H_
#define TEASELTHREAD_GATEWAY_GATEWAY_METRICS_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "libteaselthread/attempts/hedge_policy.h"
#include "libteaselthread/attempts/request_attempts.h"
#include "libteaselthread/attempts/silence_decision.h"
#include "libteaselthread/callers/closing_reason.h"
#include "libteaselthread/callers/connection_end.h"
#include "libteaselthread/endpoints/crash_evidence_queue.h"
#include "libteaselthread/rate_limits/rate_limit_table.h"
#include "libteaselthread/requests/reasons.h"
#include "libteaselthread/rollouts/rollout.h"
#include "libteaselthread/routes/route.h"
#include "libteaselthread/streams/stream_origins.h"

namespace teaselthread {

// Histogram of latencies with fixed bucket bounds.
class LatencyHistogram {
 public:
  static constexpr size_t kBuckets = 10;
  // Upper bounds in seconds.
  static constexpr std::array<double, kBuckets> kBounds = {
      0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 5, 12};

  void Add(Duration latency);

  // Cumulative bucket counts, without the bucket above the last bound.
  std::array<uint64_t, kBuckets> CumulativeCounts() const;
  uint64_t count() const { return count_; }
  double sum_seconds() const { return sum_seconds_; }

 private:
  std::array<uint64_t, kBuckets> counts_{};
  uint64_t count_ = 0;
  double sum_seconds_ = 0;
};

// How much of the response to a request was written.
enum class ResponseEnd : uint8_t {
  kComplete,
  kIncomplete,  // it was ended early
  kMissing,     // none of it was written
};
inline constexpr size_t kResponseEndCount = 3;
std::string_view ToString(ResponseEnd end);

// Values that are sampled when the metrics are rendered.
struct GatewayGauges {
  uint64_t configuration_version = 0;
  double configuration_age_seconds = -1;  // -1: not confirmed yet
  uint64_t endpoints = 0;
  uint64_t peers_alive = 0;
  uint64_t blocked_parts = 0;  // of prompts, since they crash engines
  uint64_t requests_in_progress = 0;
  uint64_t connections = 0;
  uint64_t connection_limit = 0;
  uint64_t buffered_bytes = 0;  // reserved for bodies
  uint64_t buffer_limit_bytes = 0;
  uint64_t log_lines_dropped = 0;
  uint64_t rate_limits = 0;    // of endpoints, in force
  uint64_t streams_known = 0;  // with the version that began them
  bool ready = false;
  bool rollouts_enabled = false;
  std::vector<const Rollout*> rollouts;  // valid while rendering
};

// The gateway's counters and latency histograms, rendered as Prometheus text.
class GatewayMetrics {
 public:
  // A whole request was read. Each one is followed by one call of
  // OnResponseEnded.
  void OnRequestRead() { ++requests_read_; }
  void OnResponseEnded(ResponseEnd end) {
    ++response_ends_[static_cast<size_t>(end)];
  }
  void OnRefusal(RefusalReason reason);
  // Called when an attempt has failed. `retried`: another attempt follows.
  void OnAttemptFailure(AttemptFailure failure, bool retried);
  // A caller's connection was closed without a response.
  void OnCallerClosed(ClosingReason reason) {
    ++callers_closed_[static_cast<size_t>(reason)];
  }
  void OnConnectionEnded(ConnectionEnd end) {
    ++connection_ends_[static_cast<size_t>(end)];
  }
  void OnFirstByte(RequestKind kind, Duration latency);
  void OnResponse(RequestKind kind, Duration latency);
  void OnUnknownOutcome() { ++unknown_outcomes_; }
  void OnBrokenStream() { ++broken_streams_; }
  void OnEndpointLeaving() { ++endpoints_leaving_; }
  void OnEndpointPaused() { ++endpoint_pauses_; }
  void OnRateLimitChange(RateLimitChange change) {
    ++rate_limit_changes_[static_cast<size_t>(change)];
  }
  // A response named a limit that is not a number of requests.
  void OnUnreadableRateLimit() { ++unreadable_rate_limits_; }
  // Endpoints were left out of a selection because of their limits.
  void OnLimitedSelection(uint32_t endpoints) {
    endpoints_left_out_ += endpoints;
  }
  // A caller has resumed a stream.
  void OnStreamResumed(OriginSource source) {
    ++streams_resumed_[static_cast<size_t>(source)];
  }
  // An endpoint was silent for the limit of its attempt.
  void OnSilence(SilenceDecision decision) {
    ++silences_[static_cast<size_t>(decision)];
  }
  // What became of the evidence of a connection that an engine broke.
  void OnCrashEvidence(CrashVerdict verdict);
  void OnHedgeSent() { ++hedges_sent_; }
  void OnHedgeWon() { ++hedges_won_; }
  // An attempt was cancelled because the one parallel to it has succeeded.
  void OnParallelAttemptCancelled() { ++attempts_cancelled_; }
  void OnHedgeDenied(HedgeDenial denial) {
    ++hedges_denied_[static_cast<size_t>(denial)];
  }
  void OnStoreCall(bool succeeded);
  // A list was read again, as the store had been restored from an older copy.
  void OnStoreRestored() { ++store_restorations_; }
  void OnUnreadableEntry() { ++unreadable_entries_; }
  void OnHeartbeatSent(size_t bytes);
  void OnStreamReportsSent(size_t count) { stream_reports_sent_ += count; }
  void OnStreamRecordWritten() { ++stream_records_written_; }
  void OnStreamRecordsRead(size_t count) { stream_records_read_ += count; }
  // An order has entered a stage at this gateway.
  void OnRolloutStage(RolloutStage stage) {
    ++rollout_stages_[static_cast<size_t>(stage)];
  }

  std::string Render(const GatewayGauges& gauges) const;

 private:
  static constexpr size_t kKinds = 3;

  uint64_t requests_read_ = 0;
  std::array<uint64_t, kResponseEndCount> response_ends_{};
  std::array<uint64_t, kRefusalReasonCount> refusals_{};
  std::array<uint64_t, kAttemptFailureCount> failures_{};
  std::array<uint64_t, kAttemptFailureCount> retries_{};
  std::array<uint64_t, kClosingReasonCount> callers_closed_{};
  std::array<uint64_t, kConnectionEndCount> connection_ends_{};
  std::array<LatencyHistogram, kKinds> first_byte_;
  std::array<LatencyHistogram, kKinds> responses_;
  uint64_t unknown_outcomes_ = 0;
  uint64_t broken_streams_ = 0;
  uint64_t endpoints_leaving_ = 0;
  uint64_t endpoint_pauses_ = 0;
  std::array<uint64_t, kRateLimitChangeCount> rate_limit_changes_{};
  uint64_t unreadable_rate_limits_ = 0;
  uint64_t endpoints_left_out_ = 0;
  std::array<uint64_t, kCrashVerdictCount> crash_evidence_{};
  std::array<uint64_t, kSilenceDecisionCount> silences_{};
  std::array<uint64_t, kOriginSourceCount> streams_resumed_{};
  uint64_t hedges_sent_ = 0;
  uint64_t hedges_won_ = 0;
  uint64_t attempts_cancelled_ = 0;
  std::array<uint64_t, kHedgeDenialCount> hedges_denied_{};
  uint64_t store_calls_ = 0;
  uint64_t store_restorations_ = 0;
  uint64_t store_failures_ = 0;
  uint64_t unreadable_entries_ = 0;
  uint64_t heartbeats_sent_ = 0;
  uint64_t heartbeat_bytes_ = 0;
  uint64_t stream_reports_sent_ = 0;
  uint64_t stream_records_written_ = 0;
  uint64_t stream_records_read_ = 0;
  std::array<uint64_t, kRolloutStageCount> rollout_stages_{};
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_GATEWAY_METRICS_H_
