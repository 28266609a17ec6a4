#include "libteaselthread/endpoints/removal_grace_period.h"

#include <algorithm>

namespace teaselthread {
namespace {

// The time in which living endpoints register again, and their entries' way.
constexpr Duration kReturnGrace = std::chrono::milliseconds(2'300);
// A second call on a new connection succeeds sooner if the store was not away.
constexpr Duration kMinOutage = std::chrono::milliseconds(400);
// Removals take effect with the next sweep, and requests are on their way.
constexpr Duration kEffectMargin = std::chrono::milliseconds(300);

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
  const bool was_away = now - *lost_at_ >= kMinOutage;
  lost_at_.reset();
  if (!was_away)
    return std::nullopt;
  return std::min(now + kReturnGrace,
                  last_failed_call_at + contact_bound_ - kEffectMargin);
}

}  // namespace teaselthread
