#ifndef TEASELTHREAD_ROLLOUTS_VERSION_TEST_H_
#define TEASELTHREAD_ROLLOUTS_VERSION_TEST_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

#include "libteaselthread/rollouts/rollout_counters.h"

namespace teaselthread {

// Bad ones among a number of responses.
struct BadShare {
  uint32_t responses = 0;
  uint32_t bad = 0;

  friend auto operator<=>(const BadShare&, const BadShare&) = default;
};

// Sequential test: whether the target's share of bad responses is higher than
// the old side's. It may be repeated with each response: the probability that
// it is ever true for a version that is not worse is at most `error`.
bool IsWorse(const BadShare& target, const BadShare& old_side, double error);

// Whether the responses rule out, with the given error, that the target's share
// of bad responses is higher than the old side's by `excess` or more.
bool RulesOutExcess(const BadShare& target,
                    const BadShare& old_side,
                    double excess,
                    double error);

enum class BadSign : uint8_t { kFailures, kSlowResponses, kBadResponses };
std::string_view ToString(BadSign sign);

struct BadVerdict {
  BadSign sign = BadSign::kFailures;
  uint32_t route = RolloutCounters::kOtherRoutes;
  bool all_routes = false;  // found on all routes together

  friend auto operator<=>(const BadVerdict&, const BadVerdict&) = default;
};

// Decides whether the target version of a rollout is bad. `nodes`: number of
// nodes that decide on their own.
//
// Load pattern: a version of which a part of the responses fail or take several
// times as long, from the start or later, on all routes or on one, while the
// old version fails sometimes too.
std::optional<BadVerdict> FindBad(const RolloutCounters& counters,
                                  size_t nodes);

// Whether there are enough responses to rule out that 1 in 10 is bad, for all
// routes together and for each one with traffic.
bool HasProvenGood(const RolloutCounters& counters);

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROLLOUTS_VERSION_TEST_H_
