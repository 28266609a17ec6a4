#include "libteaselthread/endpoints/known_endpoint.h"

#include <algorithm>

namespace teaselthread {
namespace {

// About the time that a long answer takes; after it a report says little.
constexpr Duration kReportLifetime = std::chrono::milliseconds(4'000);

}  // namespace

KnownEndpoint::KnownEndpoint(EndpointRecord record,
                             Timestamp seen_at,
                             Timestamp cold_until)
    : record_(std::move(record)), seen_at_(seen_at), cold_until_(cold_until) {}

void KnownEndpoint::Update(const EndpointRecord& record, Timestamp now) {
  const bool was_draining = record_.draining;
  record_ = record;
  record_.draining = was_draining || record.draining;
  ExtendCold(now + record.cold_left);
}

void KnownEndpoint::ExtendCold(Timestamp until) {
  cold_until_ = std::max(cold_until_, until);
}

double KnownEndpoint::EstimatedLoad(Timestamp now) const {
  if (!latest_count_)
    return own_requests_;
  const Duration age = std::min(now - latest_count_->at, kReportLifetime);
  const double weight =
      1 - static_cast<double>(age.count()) / kReportLifetime.count();
  return own_requests_ + others_requests_ * weight;
}

void KnownEndpoint::OnSend(Timestamp now) {
  ++own_requests_;
  cold_quota_.OnSend(now);
  health_.OnSend(now);
}

void KnownEndpoint::OnEnd() {
  if (own_requests_ > 0)
    --own_requests_;
}

void KnownEndpoint::OnReport(const LoadReport& report, Timestamp reported_at) {
  if (latest_count_ && latest_count_->at > reported_at)
    return;
  const uint32_t total = report.running + report.waiting;
  others_requests_ = total > own_requests_ ? total - own_requests_ : 0;
  latest_count_ = CountedRequests{total, reported_at};
}

std::optional<KnownEndpoint::CountedRequests> KnownEndpoint::LatestCount(
    Duration max_age,
    Timestamp now) const {
  if (!latest_count_ || now - latest_count_->at > max_age)
    return std::nullopt;
  return latest_count_;
}

}  // namespace teaselthread
