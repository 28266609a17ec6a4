#ifndef TEASELTHREAD_ROLLOUTS_ROLLOUT_COUNTERS_H_
#define TEASELTHREAD_ROLLOUTS_ROLLOUT_COUNTERS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace teaselthread {

// Responses of one side of a rollout: of the target version, or of the others.
struct SideCounters {
  uint32_t responses = 0;
  uint32_t failures = 0;  // lost responses and errors of requests that ran
  uint32_t timed = 0;     // responses with a time that can be compared
  uint32_t slow = 0;      // of those

  uint32_t bad() const { return failures + slow; }
  SideCounters& operator+=(const SideCounters& other);

  friend auto operator<=>(const SideCounters&, const SideCounters&) = default;
};

struct RouteCounters {
  SideCounters old_side;
  SideCounters target;

  RouteCounters& operator+=(const RouteCounters& other);

  friend auto operator<=>(const RouteCounters&, const RouteCounters&) = default;
};

// The counters of an order, by route. They only grow.
struct RolloutCounters {
  // Routes without counters of their own are counted under this key.
  static constexpr uint32_t kOtherRoutes = 0;
  // Limits the size of a report to other nodes.
  static constexpr size_t kMaxRoutes = 8;

  std::map<uint32_t, RouteCounters> routes;  // by ShortHash of the route's name

  RolloutCounters& operator+=(const RolloutCounters& other);
  // All routes together.
  RouteCounters Total() const;
  // Number of responses of both sides. Of two reports from one sender, the one
  // with the higher count is the newer one.
  uint64_t ResponseCount() const;
  // The same counts, with the kMaxRoutes routes that have the most responses of
  // the target counted separately and the rest together.
  RolloutCounters Compacted() const;

  friend auto operator<=>(const RolloutCounters&,
                          const RolloutCounters&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROLLOUTS_ROLLOUT_COUNTERS_H_
