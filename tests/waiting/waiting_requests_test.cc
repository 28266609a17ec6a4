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
