#include "libteaselthread/endpoints/removal_grace.h"

namespace teaselthread {
namespace {

// The time in which living endpoints register again, and their entries' way.
constexpr Duration kReturnGrace = std::chrono::milliseconds(2'300);

}  // namespace

std::optional<Timestamp> RemovalGrace::OnRegained(Timestamp now) {
  if (!is_lost_)
    return std::nullopt;
  is_lost_ = false;
  return now + kReturnGrace;
}

}  // namespace teaselthread
