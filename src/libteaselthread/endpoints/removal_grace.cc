#include "libteaselthread/endpoints/removal_grace.h"

namespace teaselthread {
namespace {

// The time in which living endpoints register again, and their entries' way.
constexpr Duration kReturnGrace = std::chrono::milliseconds(2'300);
// A second call on a new connection succeeds sooner if the store was not away.
constexpr Duration kMinOutage = std::chrono::milliseconds(400);

}  // namespace

void RemovalGrace::OnLost(Timestamp now) {
  if (!lost_at_)
    lost_at_ = now;
}

std::optional<Timestamp> RemovalGrace::OnRegained(Timestamp now) {
  if (!lost_at_)
    return std::nullopt;
  const bool was_away = now - *lost_at_ >= kMinOutage;
  lost_at_.reset();
  if (!was_away)
    return std::nullopt;
  return now + kReturnGrace;
}

}  // namespace teaselthread
