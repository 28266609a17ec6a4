#include "libteaselthread/attempts/silence_policy.h"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct SilenceFixture {
  SilenceFixture() : routes(test::MakeRoutes()) {
    query.route = routes.FindRoute("shop.example", "/chat/");
    query.prompt_tokens = 11'800;
    query.time_left = seconds(12);
  }

  RouteTable routes;
  SilenceQuery query;
};

BOOST_FIXTURE_TEST_SUITE(an_engine_that_says_nothing, SilenceFixture)

BOOST_AUTO_TEST_CASE(is_given_up_while_a_repeat_can_meet_the_objective) {
  const SilenceLimits limits = ChooseSilenceLimits(query);
  BOOST_TEST((limits.first < query.route->objective));
  // The engine reads 56.9 tokens a millisecond.
  BOOST_TEST((limits.first > milliseconds(11'800 / 56)));
}

BOOST_AUTO_TEST_CASE(has_time_to_read_the_longest_prompt) {
  query.prompt_tokens = 41'000;
  BOOST_TEST((ChooseSilenceLimits(query).first > milliseconds(41'000 / 56)));
}

BOOST_AUTO_TEST_CASE(has_more_time_if_it_is_busy) {
  query.load_share = 0.8;
  BOOST_TEST((ChooseSilenceLimits(query).first >= milliseconds(2'500)));
}

BOOST_AUTO_TEST_CASE(leaves_half_of_the_time_for_a_repeat) {
  query.time_left = milliseconds(600);
  BOOST_TEST((ChooseSilenceLimits(query).first == milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(is_judged_but_waited_for_if_nothing_can_be_repeated) {
  query.route = routes.FindRoute("shop.example", "/order/");
  const SilenceLimits limits = ChooseSilenceLimits(query);
  BOOST_TEST((limits.first == query.time_left));
  BOOST_TEST((limits.between == query.time_left));
  BOOST_TEST((limits.judge < query.route->objective));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
