#include "libteaselthread/rollouts/version_test.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace teaselthread::test {
namespace {

constexpr uint32_t kRoute = 7;

// Counters of one route, without slow responses.
RolloutCounters MakeCounters(const BadShare& old_side, const BadShare& target) {
  RolloutCounters counters;
  counters.routes[kRoute] = {
      {old_side.responses, old_side.bad, old_side.responses, 0},
      {target.responses, target.bad, target.responses, 0}};
  return counters;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(version_test)

// Repeated looks at the same error level would find a bad version by chance.
BOOST_AUTO_TEST_CASE(rarely_reverts_a_version_that_is_no_worse) {
  std::mt19937_64 random(3);
  constexpr int kOrders = 2'000;
  int reverted = 0;
  for (int order = 0; order < kOrders; ++order) {
    std::bernoulli_distribution fails(0.03);
    BadShare old_side;
    BadShare target;
    for (int response = 0; response < 400; ++response) {
      for (int i = 0; i < 19; ++i)
        old_side.bad += fails(random) ? 1 : 0;
      old_side.responses += 19;
      ++target.responses;
      target.bad += fails(random) ? 1 : 0;
      if (FindBad(MakeCounters(old_side, target), 1)) {
        ++reverted;
        break;
      }
    }
  }
  BOOST_TEST(reverted <= kOrders / 500);
}

BOOST_AUTO_TEST_CASE(finds_a_bad_version_well_before_50_bad_responses) {
  const BadShare old_side{1'000, 20};
  BOOST_TEST(FindBad(MakeCounters(old_side, {6, 6}), 124).has_value());
  BOOST_TEST(FindBad(MakeCounters(old_side, {50, 15}), 124).has_value());
  BOOST_TEST(FindBad(MakeCounters(old_side, {200, 35}), 124).has_value());
}

BOOST_AUTO_TEST_CASE(needs_more_than_one_bad_response) {
  BOOST_TEST(!FindBad(MakeCounters({1'000, 0}, {1, 1}), 1));
}

// An outage makes both versions fail.
BOOST_AUTO_TEST_CASE(allows_40_bad_responses_that_the_old_side_explains) {
  BOOST_TEST(!FindBad(MakeCounters({2'000, 800}, {100, 41}), 1));
  BOOST_TEST(FindBad(MakeCounters({2'000, 20}, {1'500, 40}), 1).has_value());
}

BOOST_AUTO_TEST_CASE(finds_slow_responses) {
  RolloutCounters counters;
  counters.routes[kRoute] = {{900, 0, 900, 30}, {20, 0, 20, 15}};
  const auto verdict = FindBad(counters, 1);
  BOOST_REQUIRE(verdict);
  BOOST_TEST((verdict->sign == BadSign::kSlowResponses));
}

BOOST_AUTO_TEST_CASE(finds_the_one_route_that_fails) {
  RolloutCounters counters = MakeCounters({1'000, 150}, {300, 45});
  counters.routes[kRoute + 1] = {{200, 0, 200, 0}, {20, 10, 20, 0}};
  const auto verdict = FindBad(counters, 1);
  BOOST_REQUIRE(verdict);
  BOOST_TEST(!verdict->all_routes);
  BOOST_TEST(verdict->route == kRoute + 1);
}

BOOST_AUTO_TEST_CASE(needs_enough_responses_for_a_good_verdict) {
  BOOST_TEST(!HasProvenGood({}));
  BOOST_TEST(!HasProvenGood(MakeCounters({1'000, 10}, {20, 0})));
  BOOST_TEST(HasProvenGood(MakeCounters({1'000, 10}, {60, 0})));
  BOOST_TEST(!HasProvenGood(MakeCounters({1'000, 10}, {60, 6})));
}

BOOST_AUTO_TEST_CASE(needs_them_on_each_route_with_traffic) {
  RolloutCounters counters = MakeCounters({1'000, 10}, {60, 0});
  counters.routes[kRoute + 1] = {{100, 0, 100, 0}, {3, 0, 3, 0}};
  BOOST_TEST(!HasProvenGood(counters));
  counters.routes[kRoute + 1].target = {24, 0, 24, 0};
  BOOST_TEST(HasProvenGood(counters));
}

// A response without a comparable time does not show that a version is fast.
BOOST_AUTO_TEST_CASE(needs_response_times) {
  RolloutCounters counters = MakeCounters({1'000, 10}, {60, 0});
  counters.routes[kRoute].target.timed = 5;
  BOOST_TEST(!HasProvenGood(counters));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselthread::test
