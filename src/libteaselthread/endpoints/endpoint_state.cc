#include "libteaselthread/endpoints/endpoint_state.h"

#include <algorithm>

namespace teaselthread {
namespace {

// About the duration of a long response; an older report says little about the
// current load.
constexpr Duration kReportLifetime = std::chrono::milliseconds(4'000);

uint32_t CountSince(const std::deque<Timestamp>& times, Timestamp time) {
  const auto first = std::upper_bound(times.begin(), times.end(), time);
  return static_cast<uint32_t>(times.end() - first);
}

void Append(Timestamp now, std::deque<Timestamp>* times) {
  while (!times->empty() && times->front() + kReportLifetime < now)
    times->pop_front();
  times->push_back(now);
}

}  // namespace

EndpointState::EndpointState(EndpointRecord record,
                             Timestamp seen_at,
                             Timestamp cold_until)
    : record_(std::move(record)), seen_at_(seen_at), cold_until_(cold_until) {}

void EndpointState::Update(const EndpointRecord& record, Timestamp now) {
  const bool was_draining = record_.draining;
  record_ = record;
  record_.draining = was_draining || record.draining;
  ExtendCold(now + record.cold_left);
}

void EndpointState::ExtendCold(Timestamp until) {
  cold_until_ = std::max(cold_until_, until);
}

uint32_t EndpointState::slots() const {
  return std::max(1u, reported_slots_.value_or(record_.slots));
}

double EndpointState::EstimatedLoad(Timestamp now) const {
  if (!latest_count_)
    return local_requests_;
  const Duration age = std::min(now - latest_count_->at, kReportLifetime);
  const double weight =
      1 - static_cast<double>(age.count()) / kReportLifetime.count();
  return local_requests_ + remote_requests_ * weight;
}

std::optional<double> EndpointState::RemoteRequests(Timestamp now) const {
  if (!latest_count_ || now - latest_count_->at > kReportLifetime)
    return std::nullopt;
  return remote_requests_;
}

uint32_t EndpointState::SendsSinceCount() const {
  return tokens_.SendsSince(latest_count_ ? latest_count_->at : Timestamp{});
}

void EndpointState::OnSend(Timestamp now) {
  ++local_requests_;
  Append(now, &sends_);
  cold_quota_.OnSend(now);
  health_.OnSend(now);
}

void EndpointState::OnEnd(Timestamp now) {
  if (local_requests_ > 0)
    --local_requests_;
  Append(now, &ends_);
}

void EndpointState::OnReport(const LoadReport& report, Timestamp reported_at) {
  if (latest_count_ && latest_count_->at > reported_at)
    return;
  const uint32_t total = report.running + report.waiting;
  // Local requests at the time of the count, which is before now if another
  // node has passed it on.
  const uint32_t local = local_requests_ + CountSince(ends_, reported_at) -
                         CountSince(sends_, reported_at);
  remote_requests_ = total > local ? total - local : 0;
  latest_count_ = CountedRequests{total, reported_at, report.percent};
  if (report.slots)
    reported_slots_ = report.slots;
  if (report.percent)
    speed_.OnReport(*report.percent, reported_at);
}

std::optional<EndpointState::CountedRequests> EndpointState::LatestCount(
    Duration max_age,
    Timestamp now) const {
  if (!latest_count_ || now - latest_count_->at > max_age)
    return std::nullopt;
  return latest_count_;
}

}  // namespace teaselthread
