#ifndef TEASELTHREAD_ROLLOUTS_ROLLOUT_ORDER_H_
#define TEASELTHREAD_ROLLOUTS_ROLLOUT_ORDER_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// What the system has written to the store about an order.
enum class RolloutState : uint8_t { kServing, kCompleted, kReverted };
inline constexpr size_t kRolloutStateCount = 3;
std::string_view ToString(RolloutState state);

struct RolloutStatus {
  RolloutState state = RolloutState::kServing;
  std::string target;  // of the order that the state applies to

  friend auto operator<=>(const RolloutStatus&, const RolloutStatus&) = default;
};

// An operator's order, as stored, to move the traffic of a service to the
// endpoints of one version.
struct RolloutOrder {
  std::string name;  // of the object in the store
  std::string service;
  std::string target;   // version
  Duration duration{};  // from the order to its deadline
  std::optional<RolloutStatus> status;
  uint64_t revision = 0;  // of the object

  // The status, unless it applies to an order with another target.
  std::optional<RolloutState> state() const;
  // Whether the order is completed or reverted.
  bool is_closed() const;

  friend auto operator<=>(const RolloutOrder&, const RolloutOrder&) = default;
};

// Limits that the operators set.
struct RolloutLimits {
  // The share of a service's requests, from 0 to 1, that a bad version may get.
  // 0: rollouts are off.
  double expose_share = 0;
  double expose_slack = 0;  // requests on top of that
  // From the 50th bad response until no request is sent to the version.
  Duration rollback{};

  bool enabled() const { return expose_share > 0; }

  friend auto operator<=>(const RolloutLimits&, const RolloutLimits&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROLLOUTS_ROLLOUT_ORDER_H_
