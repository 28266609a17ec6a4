#ifndef TEASELTHREAD_ROLLOUTS_CANARY_SHARE_H_
#define TEASELTHREAD_ROLLOUTS_CANARY_SHARE_H_

#include <cstdint>
#include <map>

#include "libteaselthread/rollouts/rollout_order.h"

namespace teaselthread {

// Decides which of this node's requests go to the target version of a rollout
// in its canary stage. Each node stays within a share of its own requests and
// within its part of the slack, so that all of them together keep the
// operators' bound without exchanging messages.
//
// Load pattern: nodes with very different traffic, and several routes of which
// some have little.
class CanaryShare {
 public:
  // The part of the operators' bound that is used. The rest is for what is sent
  // between the first bad response and the decision.
  static constexpr double kUsedPart = 0.5;

  // `rounding`: from 0 to 1, added to the number of requests that are allowed.
  // Nodes with few requests are allowed fractions of one. If the values of the
  // nodes differ, their sum is right on average.
  CanaryShare(const RolloutLimits& limits, double rounding)
      : limits_(limits), rounding_(rounding) {}

  // Whether a request of the route may be sent to the target. `nodes`: number
  // of nodes that share the slack. `elapsed_share`: of the order's time that
  // has passed, from 0 to 1.
  bool Allows(uint32_t route, size_t nodes, double elapsed_share) const;
  // A request is sent, whether or not it is a retry.
  void OnSend(uint32_t route, bool to_target);

  uint32_t sends() const { return sends_; }
  uint32_t target_sends() const { return target_sends_; }

 private:
  RolloutLimits limits_;
  double rounding_;
  uint32_t sends_ = 0;         // of the service, to any version
  uint32_t target_sends_ = 0;  // of those
  std::map<uint32_t, uint32_t> target_sends_by_route_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROLLOUTS_CANARY_SHARE_H_
