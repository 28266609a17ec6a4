#include "libteaselthread/requests/leaving_schedule.h"

#include <boost/test/unit_test.hpp>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Timestamp kSignalledAt{seconds(100)};
constexpr Duration kGrace = seconds(8);

BOOST_AUTO_TEST_SUITE(a_node_that_is_told_to_leave)

const LeavingSchedule kSchedule = LeavingSchedule::Begin(kSignalledAt, kGrace);

BOOST_AUTO_TEST_CASE(exits_before_it_would_be_killed) {
  BOOST_TEST((kSchedule.exits_at() < kSignalledAt + kGrace));
  BOOST_TEST((kSchedule.exits_at() > kSignalledAt + kGrace - seconds(1)));
}

BOOST_AUTO_TEST_CASE(serves_all_requests_while_it_accepts_connections) {
  const Timestamp now = kSchedule.accepts_until() - milliseconds(1);
  BOOST_TEST(kSchedule.Serves(now, now + seconds(12)));
}

BOOST_AUTO_TEST_SUITE(and_accepts_no_more_connections)

BOOST_AUTO_TEST_CASE(serves_a_request_that_ends_before_the_exit) {
  BOOST_TEST(kSchedule.Serves(kSchedule.accepts_until(), kSchedule.exits_at()));
}

BOOST_AUTO_TEST_CASE(does_not_serve_one_that_may_last_longer) {
  BOOST_TEST(!kSchedule.Serves(kSchedule.accepts_until(),
                               kSchedule.exits_at() + milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(exits_at_once_if_it_has_no_time) {
  const auto schedule = LeavingSchedule::Begin(kSignalledAt, milliseconds(100));
  BOOST_TEST((schedule.exits_at() == kSignalledAt));
  BOOST_TEST(!schedule.AcceptsConnections(kSignalledAt));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
