#include "libteaselthread/metrics.h"

#include <sstream>

namespace teaselthread {
namespace {

namespace acc = boost::accumulators;

constexpr double kReportedQuantile = 0.95;

void WriteLine(std::ostream& out, std::string_view name, double value) {
  out << "teaselthread_" << name << " " << value << "\n";
}

void WriteLabelledLine(std::ostream& out,
                       std::string_view name,
                       std::string_view label,
                       std::string_view label_value,
                       double value) {
  out << "teaselthread_" << name << "{" << label << "=\"" << label_value
      << "\"} " << value << "\n";
}

void WriteSummary(std::ostream& out,
                  const std::string& name,
                  const std::string& labels,
                  const Distribution& values) {
  const std::string separator = labels.empty() ? "" : ",";
  out << "teaselthread_" << name << "{" << labels << separator
      << "quantile=\"0.95\"} " << values.p95() << "\n";
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  out << "teaselthread_" << name << "_sum" << braces << " " << values.sum()
      << "\n";
  out << "teaselthread_" << name << "_count" << braces << " " << values.count()
      << "\n";
}

void WriteType(std::ostream& out,
               std::string_view name,
               std::string_view type) {
  out << "# TYPE teaselthread_" << name << " " << type << "\n";
}

}  // namespace

Distribution::Distribution()
    : accumulator_(acc::quantile_probability = kReportedQuantile) {}

void Distribution::Add(double value) {
  accumulator_(value);
}

void Distribution::Add(Duration latency) {
  Add(std::chrono::duration<double>(latency).count());
}

uint64_t Distribution::count() const {
  return acc::count(accumulator_);
}

double Distribution::sum() const {
  return acc::sum(accumulator_);
}

double Distribution::max() const {
  return count() == 0 ? 0 : acc::max(accumulator_);
}

double Distribution::p95() const {
  return count() == 0 ? 0 : acc::p_square_quantile(accumulator_);
}

void Metrics::OnOutcome(const std::string& profile,
                        const Outcome& outcome,
                        Duration latency) {
  ProfileCounts& counts = profiles_[profile];
  if (const RefusedNotRun* refused = outcome.refused()) {
    ++counts.not_run;
    OnRefusal(refused->reason);
  } else if (const MayHaveRun* unknown = outcome.may_have_run()) {
    ++counts.unknown;
    ++unknowns_[static_cast<size_t>(unknown->reason)];
  } else {
    ++counts.answered;
    counts.latency.Add(latency);
  }
}

void Metrics::OnRefusal(RefusalReason reason) {
  ++refusals_[static_cast<size_t>(reason)];
}

void Metrics::OnRetry(RetryReason reason) {
  ++retries_[static_cast<size_t>(reason)];
}

void Metrics::OnFirstByte(Duration latency) {
  first_byte_.Add(latency);
}

void Metrics::OnAdmission(uint32_t load) {
  admitted_load_.Add(static_cast<double>(load));
}

void Metrics::OnHeartbeatSent(uint64_t bytes) {
  ++heartbeats_sent_;
  heartbeat_bytes_ += bytes;
}

void Metrics::OnPlatformCall(bool succeeded) {
  ++platform_calls_;
  platform_failures_ += succeeded ? 0 : 1;
}

std::string Metrics::Render(const Gauges& gauges) const {
  std::ostringstream out;
  WriteType(out, "refusals_total", "counter");
  for (size_t i = 0; i < refusals_.size(); ++i) {
    WriteLabelledLine(out, "refusals_total", "reason",
                      ToString(static_cast<RefusalReason>(i)), refusals_[i]);
  }
  WriteType(out, "unknown_outcomes_total", "counter");
  for (size_t i = 0; i < unknowns_.size(); ++i) {
    WriteLabelledLine(out, "unknown_outcomes_total", "reason",
                      ToString(static_cast<UnknownReason>(i)), unknowns_[i]);
  }
  WriteType(out, "retries_total", "counter");
  for (size_t i = 0; i < retries_.size(); ++i) {
    WriteLabelledLine(out, "retries_total", "reason",
                      ToString(static_cast<RetryReason>(i)), retries_[i]);
  }
  WriteType(out, "requests_total", "counter");
  for (const auto& [name, counts] : profiles_) {
    const std::string labels = "profile=\"" + name + "\",outcome=\"";
    out << "teaselthread_requests_total{" << labels << "answered\"} "
        << counts.answered << "\n"
        << "teaselthread_requests_total{" << labels << "not-run\"} "
        << counts.not_run << "\n"
        << "teaselthread_requests_total{" << labels << "unknown\"} "
        << counts.unknown << "\n";
  }
  WriteType(out, "request_seconds", "summary");
  for (const auto& [name, counts] : profiles_)
    WriteSummary(out, "request_seconds", "profile=\"" + name + "\"",
                 counts.latency);
  WriteType(out, "first_byte_seconds", "summary");
  WriteSummary(out, "first_byte_seconds", "", first_byte_);
  WriteType(out, "admitted_load", "summary");
  WriteSummary(out, "admitted_load", "", admitted_load_);
  WriteLine(out, "admitted_load_max", admitted_load_.max());
  WriteLine(out, "heartbeats_sent_total", heartbeats_sent_);
  WriteLine(out, "heartbeat_bytes_total", heartbeat_bytes_);
  WriteLine(out, "heartbeats_failed_total", heartbeats_failed_);
  WriteLine(out, "platform_calls_total", platform_calls_);
  WriteLine(out, "platform_failures_total", platform_failures_);
  WriteLine(out, "configuration_version", gauges.configuration_version);
  WriteLine(out, "members_serving", gauges.members_serving);
  WriteLine(out, "endpoints_owned", gauges.endpoints_owned);
  WriteLine(out, "endpoints_admitting", gauges.endpoints_admitting);
  WriteLine(out, "calls_running", gauges.calls_running);
  WriteLine(out, "idempotency_keys", gauges.idempotency_keys);
  WriteLine(out, "kept_answer_bytes", gauges.kept_answer_bytes);
  WriteLine(out, "in_good_standing", gauges.in_good_standing ? 1 : 0);
  WriteLine(out, "ready", gauges.ready ? 1 : 0);
  return out.str();
}

}  // namespace teaselthread
