#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "heartbeat.pb.h"
#include "libteaselthread/peers/missed_change_detector.h"
#include "libteaselthread/peers/relayed_list_view.h"
#include "libteaselthread/peers/revision_announcement.h"
#include "teaselthread/gateway/heartbeat_conversion.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;

ChangeBatchPart PartOf(StoreEpoch epoch, uint32_t index, uint32_t count) {
  return {{10, 14, {{"e-1", true, std::nullopt}}, epoch}, index, count};
}

// A node that has read the list in epoch 2 as of revision 10.
struct ViewFixture {
  ViewFixture() { view.OnList(10, 2); }

  RelayedListView view{seconds(1)};
};

BOOST_FIXTURE_TEST_SUITE(a_peer_of_another_epoch, ViewFixture)

BOOST_AUTO_TEST_CASE(relays_no_changes_of_its_history) {
  BOOST_TEST(!view.OnRelayedPart(PartOf(1, 0, 1)));
  BOOST_TEST(!view.OnRelayedPart(PartOf(3, 0, 1)));
  BOOST_TEST(view.OnRelayedPart(PartOf(2, 0, 1)).has_value());
}

BOOST_AUTO_TEST_CASE(completes_no_batch_of_an_earlier_one) {
  ChangeAssembler assembler;
  BOOST_TEST(!assembler.Add(PartOf(1, 0, 2)));
  BOOST_TEST(!assembler.Add(PartOf(2, 1, 2)));
}

BOOST_AUTO_TEST_CASE(does_not_state_up_to_where_the_list_is_known) {
  view.OnLeaderStatus({10, 20, {}, 1}, At(seconds(1)));
  view.OnLeaderStatus({10, 20, {}, 3}, At(seconds(1)));
  BOOST_TEST(view.revision() == 10u);
  BOOST_TEST(!view.IsInformed(At(milliseconds(1'500))));
}

BOOST_AUTO_TEST_CASE(is_told_apart_from_one_that_names_none) {
  view.OnLeaderStatus({10, 20, {}, {}}, At(seconds(1)));
  BOOST_TEST(view.revision() == 20u);
  BOOST_TEST(view.IsInformed(At(milliseconds(1'500))));
}

BOOST_AUTO_TEST_CASE(does_not_bring_back_a_list_of_an_older_epoch) {
  BOOST_TEST(!view.OnList(90, 1));
  BOOST_TEST(view.OnList(4, 3));
  BOOST_TEST(view.revision() == 4u);
}

// Guards against calls for changes that the store no longer has.
BOOST_AUTO_TEST_CASE(announces_changes_that_are_not_missed) {
  MissedChangeDetector detector({milliseconds(200), milliseconds(0)});
  detector.OnPeerRevision(90, At(seconds(1)), 1);
  const auto is_missed = [&](uint64_t known, StoreEpoch epoch) {
    return detector.IsMissed(known, At(seconds(1)), At(seconds(2)), epoch);
  };
  BOOST_TEST(is_missed(10, 1));
  BOOST_TEST(!is_missed(10, 2));
  detector.OnPeerRevision(4, At(seconds(1)), 2);
  detector.OnPeerRevision(95, At(seconds(1)), 1);
  BOOST_TEST(is_missed(90, 1));
  BOOST_TEST(!is_missed(4, 2));
}

BOOST_AUTO_TEST_CASE(does_not_outlast_the_newer_one_in_announcements) {
  RevisionAnnouncement announcement;
  announcement.OnRevision(90, At(seconds(20)), 1);
  announcement.OnRevision(4, At(seconds(21)), 2);
  BOOST_TEST(announcement.RevisionToAnnounce(At(seconds(22))) == 4u);
  BOOST_TEST((announcement.epoch() == 2u));
}

BOOST_AUTO_TEST_CASE(is_named_in_heartbeats) {
  wire::ListStatus message;
  for (const StoreEpoch epoch : {StoreEpoch(), StoreEpoch(0), StoreEpoch(7)}) {
    const ListStatus status{3, 5, milliseconds(20), epoch};
    message.Clear();
    EncodeListStatus(status, &message);
    BOOST_TEST((DecodeListStatus(message) == status));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
