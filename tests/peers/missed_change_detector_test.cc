#include "libteaselthread/peers/missed_change_detector.h"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/peers/revision_announcement.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;

struct MissedChangeFixture {
  MissedChangeDetector detector{{milliseconds(200), milliseconds(800)}};
};

BOOST_FIXTURE_TEST_SUITE(a_change_announced_by_another_node,
                         MissedChangeFixture)

BOOST_AUTO_TEST_CASE(is_not_missed_if_it_is_known) {
  detector.OnPeerRevision(7, At(seconds(1)));
  BOOST_TEST(!detector.IsMissed(7, At(seconds(0)), At(seconds(9))));
}

BOOST_AUTO_TEST_CASE(may_still_be_delivered) {
  detector.OnPeerRevision(8, At(seconds(1)));
  BOOST_TEST(!detector.IsMissed(7, At(seconds(0)), At(milliseconds(1'150))));
  BOOST_TEST(detector.IsMissed(7, At(seconds(0)), At(milliseconds(1'200))));
}

BOOST_AUTO_TEST_CASE(is_delivered_by_the_next_call_if_none_is_waiting) {
  detector.OnPeerRevision(8, At(seconds(1)));
  BOOST_TEST(!detector.IsMissed(7, std::nullopt, At(seconds(9))));
}

// A slow store takes some tenths of a second for each response. Calls that are
// aborted and repeated before that would never get a response.
BOOST_AUTO_TEST_CASE(gets_a_new_timeout_with_each_call) {
  detector.OnPeerRevision(8, At(seconds(1)));
  const Timestamp called_again_at = At(milliseconds(1'200));
  BOOST_TEST(!detector.IsMissed(7, called_again_at, At(milliseconds(1'990))));
  BOOST_TEST(detector.IsMissed(7, called_again_at, At(milliseconds(2'000))));
}

// Heartbeats of several nodes announce the same change.
BOOST_AUTO_TEST_CASE(is_not_delayed_by_repeated_announcements) {
  detector.OnPeerRevision(8, At(seconds(1)));
  detector.OnPeerRevision(8, At(milliseconds(1'190)));
  detector.OnPeerRevision(6, At(milliseconds(1'195)));
  BOOST_TEST(detector.IsMissed(7, At(seconds(0)), At(milliseconds(1'200))));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_change_known_to_this_node)

BOOST_AUTO_TEST_CASE(is_announced_for_a_limited_time) {
  RevisionAnnouncement announcement;
  BOOST_TEST(announcement.RevisionToAnnounce(At(seconds(20))) == 0u);
  announcement.OnRevision(8, At(seconds(20)));
  announcement.OnRevision(7, At(seconds(28)));
  BOOST_TEST(announcement.RevisionToAnnounce(At(seconds(29))) == 8u);
  BOOST_TEST(announcement.RevisionToAnnounce(At(seconds(31))) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
