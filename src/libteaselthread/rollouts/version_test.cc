#include "libteaselthread/rollouts/version_test.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace teaselthread {
namespace {

// Probability of a false "bad" over the life of an order, at any node.
constexpr double kOrderError = 0.001;
// Failures and slow responses, on each route with counters of its own, on the
// others and on all together.
constexpr double kTestsPerNode = 2 * (RolloutCounters::kMaxRoutes + 2);

// The alternatives of the sequential test: shares of the responses that the old
// side would answer well and the target does not.
constexpr std::array<double, 4> kAlternatives = {0.1, 0.25, 0.5, 0.9};
// No version is free of failures: connections break, endpoints restart.
constexpr double kMinOldShare = 0.01;
// The old side's share is known from a limited number of responses. The test
// uses an upper bound of it: this many standard deviations above the estimate,
// which is that of a prior of kPriorBad in kPriorResponses.
constexpr double kDeviations = 2;
constexpr double kPriorBad = 0.5;
constexpr double kPriorResponses = 20;

// This many bad responses are enough in any case, unless the old side's share
// explains them. The operators' bound counts from the 50th.
constexpr uint32_t kMaxBadResponses = 40;

// Shares of bad responses, beyond those of the old side, that must be ruled out
// for a good verdict, and the error: for all routes together, and for each
// route. A route gets only a part of the canary requests: with an excess of 0.1
// for each of three routes, and an error of 0.02 for all together, 54 of 100
// simulated orders for a good version at 100 requests/s missed their deadline.
struct GoodCriterion {
  double excess;
  double error;
};
constexpr GoodCriterion kTotalCriterion = {0.1, 0.05};
constexpr GoodCriterion kRouteCriterion = {0.15, 0.2};
// Routes with fewer responses are judged only together with the others: a
// canary share of them would not be enough within the time of an order.
constexpr uint32_t kMinRouteResponses = 60;

double OldShareBound(const BadShare& old_side) {
  const double responses = old_side.responses + kPriorResponses;
  const double share = (old_side.bad + kPriorBad) / responses;
  const double deviation = std::sqrt(share * (1 - share) / responses);
  return std::clamp(share + kDeviations * deviation, kMinOldShare, 0.99);
}

// Logarithm of the probability of `bad` among `responses`, without the binomial
// coefficient.
double LogLikelihood(const BadShare& counts, double share) {
  return counts.bad * std::log(share) +
         (counts.responses - counts.bad) * std::log1p(-share);
}

BadShare Failures(const SideCounters& side) {
  return {side.responses, side.failures};
}

BadShare SlowResponses(const SideCounters& side) {
  return {side.timed, side.slow};
}

std::optional<BadSign> FindSign(const RouteCounters& counters, double error) {
  if (IsWorse(Failures(counters.target), Failures(counters.old_side), error))
    return BadSign::kFailures;
  if (IsWorse(SlowResponses(counters.target), SlowResponses(counters.old_side),
              error)) {
    return BadSign::kSlowResponses;
  }
  return std::nullopt;
}

bool HasTooManyBad(const RouteCounters& total) {
  if (total.target.bad() < kMaxBadResponses)
    return false;
  const double share =
      OldShareBound({total.old_side.responses, total.old_side.bad()});
  const double expected = share * total.target.responses;
  return total.target.bad() > expected + 3 * std::sqrt(expected * (1 - share));
}

bool IsProvenGood(const RouteCounters& counters,
                  const GoodCriterion& criterion) {
  return RulesOutExcess(Failures(counters.target), Failures(counters.old_side),
                        criterion.excess, criterion.error) &&
         RulesOutExcess(SlowResponses(counters.target),
                        SlowResponses(counters.old_side), criterion.excess,
                        criterion.error);
}

}  // namespace

bool IsWorse(const BadShare& target, const BadShare& old_side, double error) {
  if (target.bad == 0)
    return false;
  const double old_share = OldShareBound(old_side);
  const double log_null = LogLikelihood(target, old_share);
  // A mean of likelihood ratios, which exceeds 1 / error with a probability of
  // at most `error` however often it is looked at.
  double mean_ratio = 0;
  for (const double excess : kAlternatives) {
    const double share = old_share + (1 - old_share) * excess;
    mean_ratio += std::exp(LogLikelihood(target, share) - log_null) /
                  kAlternatives.size();
  }
  return mean_ratio > 1 / error;
}

bool RulesOutExcess(const BadShare& target,
                    const BadShare& old_side,
                    double excess,
                    double error) {
  const double old_share =
      old_side.responses == 0
          ? 0
          : static_cast<double>(old_side.bad) / old_side.responses;
  const double share = std::min(0.99, old_share + excess);
  // Probability of at most this many bad responses with that share.
  double term = std::pow(1 - share, target.responses);
  double probability = term;
  for (uint32_t bad = 1; bad <= target.bad; ++bad) {
    term *= share / (1 - share) * (target.responses - bad + 1) / bad;
    probability += term;
  }
  return probability <= error;
}

std::string_view ToString(BadSign sign) {
  constexpr std::string_view kNames[] = {"failures", "slow-responses",
                                         "bad-responses"};
  return kNames[static_cast<size_t>(sign)];
}

std::optional<BadVerdict> FindBad(const RolloutCounters& counters,
                                  size_t nodes) {
  const double error = kOrderError / kTestsPerNode /
                       static_cast<double>(std::max<size_t>(1, nodes));
  const RouteCounters total = counters.Total();
  if (const auto sign = FindSign(total, error))
    return BadVerdict{*sign, RolloutCounters::kOtherRoutes, true};
  for (const auto& [route, route_counters] : counters.routes) {
    if (const auto sign = FindSign(route_counters, error))
      return BadVerdict{*sign, route, false};
  }
  if (HasTooManyBad(total))
    return BadVerdict{BadSign::kBadResponses, RolloutCounters::kOtherRoutes,
                      true};
  return std::nullopt;
}

bool HasProvenGood(const RolloutCounters& counters) {
  if (!IsProvenGood(counters.Total(), kTotalCriterion))
    return false;
  return std::all_of(counters.routes.begin(), counters.routes.end(),
                     [](const auto& item) {
                       const RouteCounters& route = item.second;
                       const uint32_t responses =
                           route.old_side.responses + route.target.responses;
                       return responses < kMinRouteResponses ||
                              IsProvenGood(route, kRouteCriterion);
                     });
}

}  // namespace teaselthread
