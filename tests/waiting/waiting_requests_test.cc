#include <boost/test/unit_test.hpp>

#include "libteaselthread/endpoints/waiting_requests.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(requests_that_wait_for_room)

BOOST_AUTO_TEST_CASE(go_by_priority_and_then_by_arrival) {
  WaitingRequests waiting;
  const auto first = waiting.Enter(1);
  const auto second = waiting.Enter(1);
  const auto urgent = waiting.Enter(0);
  BOOST_TEST(waiting.IsFirst(urgent));
  waiting.Leave(urgent);
  BOOST_TEST(waiting.IsFirst(first));
  waiting.Leave(first);
  BOOST_TEST(waiting.IsFirst(second));
}

BOOST_AUTO_TEST_CASE(are_not_overtaken_by_less_urgent_ones) {
  WaitingRequests waiting;
  BOOST_TEST(!waiting.HasAheadOf(0));
  waiting.Enter(1);
  BOOST_TEST(waiting.HasAheadOf(2));
  BOOST_TEST(waiting.HasAheadOf(1));
  BOOST_TEST(!waiting.HasAheadOf(0));
}

BOOST_AUTO_TEST_SUITE(of_several_customers)

BOOST_AUTO_TEST_CASE(take_turns) {
  WaitingRequests waiting;
  std::vector<WaitingRequests::Place> crowd;
  for (int i = 0; i < 10; ++i)
    crowd.push_back(waiting.Enter(1, "crowd"));
  const auto other = waiting.Enter(1, "other");
  BOOST_TEST(waiting.AheadOf(other) == 1u);
  waiting.Leave(crowd[0]);
  BOOST_TEST(waiting.IsFirst(other));
  waiting.Leave(other);
  const auto next = waiting.Enter(1, "other");
  BOOST_TEST(waiting.AheadOf(next) <= 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_customer_most_of_whose_requests_are_refused)

BOOST_AUTO_TEST_CASE(do_not_overtake_those_of_others) {
  WaitingRequests waiting;
  for (int i = 0; i < 3; ++i)
    waiting.Enter(1, "crowd");
  for (int i = 0; i < 10; ++i)
    waiting.Leave(waiting.Enter(1, "crowd"), false);
  BOOST_TEST(waiting.AheadOf(waiting.Enter(1, "other")) == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_urgent_ones_keep_coming)

BOOST_AUTO_TEST_CASE(get_room_in_the_end) {
  WaitingRequests waiting;
  const auto early = waiting.Enter(2);
  uint32_t overtakes = 0;
  for (auto urgent = waiting.Enter(0); waiting.IsFirst(urgent);
       urgent = waiting.Enter(0)) {
    waiting.Leave(urgent);
    BOOST_REQUIRE(++overtakes <= WaitingRequests::kMaxOvertakes);
  }
  BOOST_TEST(waiting.IsFirst(early));
}

BOOST_AUTO_TEST_CASE(are_not_preferred_because_urgent_ones_were_refused) {
  WaitingRequests waiting;
  waiting.Enter(2);
  for (uint32_t i = 0; i < 2 * WaitingRequests::kMaxOvertakes; ++i)
    waiting.Leave(waiting.Enter(0), false);
  BOOST_TEST(waiting.IsFirst(waiting.Enter(0)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(leave_the_endpoint_time_until_the_objective) {
  BOOST_TEST(
      (WaitingRequests::MaxWait(seconds(1), seconds(12)) == milliseconds(500)));
  BOOST_TEST((WaitingRequests::MaxWait(seconds(1), milliseconds(200)) ==
              milliseconds(100)));
  BOOST_TEST((WaitingRequests::MaxWait(seconds(1), milliseconds(-5)) ==
              Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
