#include "libteaselthread/rollouts/rollout_order.h"

namespace teaselthread {

std::string_view ToString(RolloutState state) {
  constexpr std::string_view kNames[kRolloutStateCount] = {
      "serving", "completed", "reverted"};
  return kNames[static_cast<size_t>(state)];
}

std::optional<RolloutState> RolloutOrder::state() const {
  if (!status || status->target != target)
    return std::nullopt;
  return status->state;
}

bool RolloutOrder::is_closed() const {
  return state().value_or(RolloutState::kServing) != RolloutState::kServing;
}

}  // namespace teaselthread
