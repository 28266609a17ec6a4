#include "libteaselthread/endpoints/endpoint_health.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Weight of the latest outcome in the moving average. The rate reflects about
// the last 8 requests.
constexpr double kSampleWeight = 0.25;
// With fewer outcomes than this the failure rate is not meaningful.
constexpr uint32_t kMinSamples = 4;
constexpr uint32_t kMaxConsecutiveFailures = 3;
constexpr Duration kFailureEjection = milliseconds(1'500);
constexpr Duration kUnreachableEjection = milliseconds(400);
// The ejection time doubles with each ejection, up to 2^kMaxDoublings times the
// base.
constexpr uint32_t kMaxDoublings = 2;
// After this time another trial request may be sent, in case the first one
// hangs.
constexpr Duration kTrialTimeout = milliseconds(3'000);

}  // namespace

bool EndpointHealth::Allows(Timestamp now) const {
  return !ejected_ || (now >= ejected_until_ && now >= trial_until_);
}

void EndpointHealth::OnSend(Timestamp now) {
  if (ejected_)
    trial_until_ = now + kTrialTimeout;
}

void EndpointHealth::OnSuccess() {
  ++samples_;
  consecutive_failures_ = 0;
  unanswered_since_.reset();
  failure_rate_ -= failure_rate_ * kSampleWeight;
  if (ejected_) {
    ejected_ = false;
    trial_until_ = {};
    failure_rate_ = 0;
    samples_ = 0;
  }
  ejections_ = 0;
}

void EndpointHealth::OnFailure(double tolerated_rate, Timestamp now) {
  ++samples_;
  ++consecutive_failures_;
  failure_rate_ += (1 - failure_rate_) * kSampleWeight;
  const bool fails_often =
      samples_ >= kMinSamples && failure_rate_ > tolerated_rate;
  if (ejected_ || fails_often ||
      consecutive_failures_ >= kMaxConsecutiveFailures) {
    Eject(kFailureEjection, now);
  }
}

void EndpointHealth::OnUnreachable(Timestamp now) {
  Eject(kUnreachableEjection, now);
}

void EndpointHealth::OnCancelled(Timestamp sent_at,
                                 Duration timeout,
                                 double tolerated_rate,
                                 Timestamp now) {
  if (!unanswered_since_)
    unanswered_since_ = sent_at;
  if (now - *unanswered_since_ < timeout)
    OnAbandoned();
  else
    OnFailure(tolerated_rate, now);
}

void EndpointHealth::Eject(Duration base, Timestamp now) {
  const uint32_t doublings = std::min(ejections_, kMaxDoublings);
  ejected_ = true;
  ++ejections_;
  trial_until_ = {};
  ejected_until_ = now + base * (1 << doublings);
}

}  // namespace teaselthread
