#include "libteaselthread/attempts/response_timeouts.h"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ResponseTimeoutFixture {
  ResponseTimeoutFixture() : routes(test::MakeRoutes()) {
    query.route = routes.FindRoute("shop.example", "/chat/");
    query.prompt_tokens = 11'800;
    query.time_left = seconds(12);
  }

  RouteTable routes;
  ResponseTimeoutQuery query;
};

BOOST_FIXTURE_TEST_SUITE(an_engine_that_does_not_respond,
                         ResponseTimeoutFixture)

BOOST_AUTO_TEST_CASE(is_abandoned_while_a_retry_can_meet_the_objective) {
  const ResponseTimeouts timeouts = ChooseResponseTimeouts(query);
  BOOST_TEST((timeouts.first < query.route->objective));
  // The engine's prefill rate is 56.9 tokens per millisecond.
  BOOST_TEST((timeouts.first > milliseconds(11'800 / 56)));
}

BOOST_AUTO_TEST_CASE(has_time_for_the_prefill_of_the_longest_prompt) {
  query.prompt_tokens = 41'000;
  BOOST_TEST((ChooseResponseTimeouts(query).first > milliseconds(41'000 / 56)));
}

BOOST_AUTO_TEST_CASE(has_more_time_if_it_is_busy) {
  query.load_share = 0.8;
  BOOST_TEST((ChooseResponseTimeouts(query).first >= milliseconds(2'500)));
}

BOOST_AUTO_TEST_CASE(leaves_half_of_the_remaining_time_for_a_retry) {
  query.time_left = milliseconds(600);
  BOOST_TEST((ChooseResponseTimeouts(query).first == milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(counts_as_failing_but_is_awaited_if_no_retry_is_allowed) {
  query.route = routes.FindRoute("shop.example", "/order/");
  const ResponseTimeouts timeouts = ChooseResponseTimeouts(query);
  BOOST_TEST((timeouts.first == query.time_left));
  BOOST_TEST((timeouts.between == query.time_left));
  BOOST_TEST((timeouts.health_timeout < query.route->objective));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
