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
  MissedChangeDetector missed{{milliseconds(200), milliseconds(800)}};
};

BOOST_FIXTURE_TEST_SUITE(a_change_that_another_node_tells_of,
                         MissedChangeFixture)

BOOST_AUTO_TEST_CASE(is_not_missed_if_it_is_known) {
  missed.OnPeerRevision(7, At(seconds(1)));
  BOOST_TEST(!missed.IsMissed(7, At(seconds(0)), At(seconds(9))));
}

BOOST_AUTO_TEST_CASE(may_still_be_on_its_way) {
  missed.OnPeerRevision(8, At(seconds(1)));
  BOOST_TEST(!missed.IsMissed(7, At(seconds(0)), At(milliseconds(1'150))));
  BOOST_TEST(missed.IsMissed(7, At(seconds(0)), At(milliseconds(1'200))));
}

BOOST_AUTO_TEST_CASE(comes_with_the_next_call_if_there_is_none_now) {
  missed.OnPeerRevision(8, At(seconds(1)));
  BOOST_TEST(!missed.IsMissed(7, std::nullopt, At(seconds(9))));
}

// A slow store takes some tenths of a second for each answer; calls that are
// given up sooner and made again would never be answered.
BOOST_AUTO_TEST_CASE(is_given_time_by_each_new_call) {
  missed.OnPeerRevision(8, At(seconds(1)));
  const Timestamp asked_again = At(milliseconds(1'200));
  BOOST_TEST(!missed.IsMissed(7, asked_again, At(milliseconds(1'990))));
  BOOST_TEST(missed.IsMissed(7, asked_again, At(milliseconds(2'000))));
}

// Heartbeats of several nodes tell of the same change.
BOOST_AUTO_TEST_CASE(is_not_postponed_by_hearing_of_it_again) {
  missed.OnPeerRevision(8, At(seconds(1)));
  missed.OnPeerRevision(8, At(milliseconds(1'190)));
  missed.OnPeerRevision(6, At(milliseconds(1'195)));
  BOOST_TEST(missed.IsMissed(7, At(seconds(0)), At(milliseconds(1'200))));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_change_that_this_node_knows)

BOOST_AUTO_TEST_CASE(is_told_for_a_while) {
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
