#include <boost/test/unit_test.hpp>

#include "libteaselthread/rate_limits/return_schedule.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RateLimitRoom kRoom{milliseconds(300), 4, 4};
constexpr Timestamp kNow{seconds(100)};

// Load pattern: all endpoints of a service take four requests a second of this
// node while it gets a hundred.
BOOST_AUTO_TEST_SUITE(callers_that_are_refused_for_want_of_room)

BOOST_AUTO_TEST_CASE(return_one_after_the_other_as_there_is_room) {
  ReturnSchedule schedule;
  BOOST_TEST((schedule.Next(kRoom, 0, kNow) == milliseconds(300)));
  BOOST_TEST((schedule.Next(kRoom, 0, kNow) == milliseconds(550)));
  BOOST_TEST((schedule.Next(kRoom, 0, kNow) == milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(return_after_those_that_wait) {
  ReturnSchedule schedule;
  BOOST_TEST((schedule.Next(kRoom, 4, kNow) == milliseconds(1'300)));
}

BOOST_AUTO_TEST_CASE(do_not_stay_away_for_long) {
  ReturnSchedule schedule;
  for (int i = 0; i < 100; ++i)
    BOOST_TEST((schedule.Next(kRoom, 0, kNow) <= schedule.kMaxReturnTime));
  BOOST_TEST(
      (schedule.Next(kRoom, 0, kNow + seconds(60)) == milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(return_soon_once_there_is_no_limit) {
  ReturnSchedule schedule;
  for (int i = 0; i < 3; ++i)
    BOOST_TEST((schedule.Next({}, 0, kNow) == schedule.kOtherNodeTime));
}

BOOST_AUTO_TEST_CASE(go_to_another_node_soon_if_this_one_has_no_share) {
  ReturnSchedule schedule;
  const RateLimitRoom none{std::nullopt, 0, 4};
  BOOST_TEST((schedule.Next(none, 0, kNow) == schedule.kOtherNodeTime));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_that_would_wait_for_room)

BOOST_AUTO_TEST_CASE(waits_for_those_before_it) {
  BOOST_TEST((ReturnSchedule::ExpectedWait(kRoom, 2) == milliseconds(800)));
  BOOST_TEST(
      !ReturnSchedule::ExpectedWait({std::nullopt, 0, 4}, 0).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
