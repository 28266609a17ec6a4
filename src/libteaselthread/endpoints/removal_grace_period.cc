#include "libteaselthread/endpoints/removal_grace_period.h"

#include <algorithm>

namespace teaselthread {
namespace {

// The time in which live endpoints register again, plus the time until this
// node receives their entries.
constexpr Duration kReregistrationTime = std::chrono::milliseconds(2'300);
// If the store is available, a second call on a new connection succeeds within
// this time.
constexpr Duration kMinOutage = std::chrono::milliseconds(400);
// Removals take effect only at the next sweep, and some requests are already on
// their way to the endpoint by then.
constexpr Duration kSweepMargin = std::chrono::milliseconds(300);

}  // namespace

void RemovalGracePeriod::OnLost(Timestamp now) {
  if (!lost_at_)
    lost_at_ = now;
}

std::optional<Timestamp> RemovalGracePeriod::OnRegained(
    Timestamp last_failed_call_at,
    Timestamp now) {
  if (!lost_at_)
    return std::nullopt;
  const bool was_unavailable = now - *lost_at_ >= kMinOutage;
  lost_at_.reset();
  if (!was_unavailable)
    return std::nullopt;
  return std::min(now + kReregistrationTime,
                  last_failed_call_at + contact_bound_ - kSweepMargin);
}

Duration RemovalGracePeriod::AfterRestoration(Duration contact_bound) {
  return std::min(kReregistrationTime, contact_bound - kSweepMargin);
}

}  // namespace teaselthread
