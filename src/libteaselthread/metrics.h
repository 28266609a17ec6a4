#ifndef TEASELTHREAD_METRICS_H_
#define TEASELTHREAD_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "libteaselthread/requests/outcome.h"

namespace teaselthread {

// A distribution of values: count, sum, maximum and 95th percentile since the
// process started.
class Distribution {
 public:
  Distribution();
  void Add(double value);
  // In seconds.
  void Add(Duration latency);

  uint64_t count() const;
  double sum() const;
  double max() const;
  double p95() const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::p_square_quantile>>;
  Accumulator accumulator_;
};

// Gauges that are read from the node's state when the metrics are rendered.
struct Gauges {
  uint64_t configuration_version = 0;
  uint64_t members_serving = 0;
  uint64_t endpoints_owned = 0;
  uint64_t endpoints_admitting = 0;  // owned and not guarded
  uint64_t calls_running = 0;
  uint64_t idempotency_keys = 0;
  uint64_t kept_answer_bytes = 0;
  bool in_good_standing = false;
  bool ready = false;
};

// The node's counters and latencies, rendered in the Prometheus text format.
class Metrics {
 public:
  void OnOutcome(const std::string& profile,
                 const Outcome& outcome,
                 Duration latency);
  // A refusal before the request's profile was known.
  void OnRefusal(RefusalReason reason);
  void OnRetry(RetryReason reason);
  void OnFirstByte(Duration latency);
  // The endpoint's load, including the admitted call.
  void OnAdmission(uint32_t load);
  void OnHeartbeatSent(uint64_t bytes);
  void OnHeartbeatFailed() { ++heartbeats_failed_; }
  void OnPlatformCall(bool succeeded);

  std::string Render(const Gauges& gauges) const;

 private:
  struct ProfileCounts {
    uint64_t answered = 0;
    uint64_t not_run = 0;
    uint64_t unknown = 0;
    Distribution latency;
  };

  std::array<uint64_t, kRefusalReasonCount> refusals_{};
  std::array<uint64_t, kUnknownReasonCount> unknowns_{};
  std::array<uint64_t, kRetryReasonCount> retries_{};
  std::map<std::string, ProfileCounts> profiles_;
  Distribution first_byte_;
  Distribution admitted_load_;
  uint64_t heartbeats_sent_ = 0;
  uint64_t heartbeat_bytes_ = 0;
  uint64_t heartbeats_failed_ = 0;
  uint64_t platform_calls_ = 0;
  uint64_t platform_failures_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_METRICS_H_
