#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/peers/peer_set.h"
#include "libteaselthread/routes/configuration_freshness.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;

BOOST_AUTO_TEST_SUITE(a_configuration_is_fresh)

BOOST_AUTO_TEST_CASE(only_after_a_proof) {
  ConfigurationFreshness configuration_freshness(seconds(5));
  BOOST_TEST(!configuration_freshness.IsFresh(At(seconds(0))));
  BOOST_TEST(!configuration_freshness.Age(At(seconds(0))).has_value());
}

BOOST_AUTO_TEST_CASE(until_its_proof_is_too_old) {
  ConfigurationFreshness configuration_freshness(seconds(5));
  configuration_freshness.OnConfirmed(At(seconds(10)));
  BOOST_TEST(configuration_freshness.IsFresh(At(seconds(15))));
  BOOST_TEST(!configuration_freshness.IsFresh(At(milliseconds(15'001))));
}

BOOST_AUTO_TEST_CASE(no_longer_by_an_older_proof_that_comes_late) {
  ConfigurationFreshness configuration_freshness(seconds(5));
  configuration_freshness.OnConfirmed(At(seconds(10)));
  configuration_freshness.OnConfirmed(At(seconds(3)));
  BOOST_TEST((*configuration_freshness.Age(At(seconds(11))) == seconds(1)));
}

BOOST_AUTO_TEST_CASE(by_a_peers_proof_counted_from_what_the_peer_echoed) {
  ConfigurationFreshness configuration_freshness(seconds(5));
  // The message may have been under way for any time; what counts is when this
  // node sent what the peer had received before it wrote.
  configuration_freshness.OnConfirmedByPeer(At(seconds(10)), milliseconds(700),
                                            At(seconds(14)));
  BOOST_TEST(
      (*configuration_freshness.Age(At(seconds(14))) == milliseconds(4'700)));
}

BOOST_AUTO_TEST_CASE(not_by_an_echo_from_another_life_of_its_clock) {
  ConfigurationFreshness configuration_freshness(seconds(5));
  configuration_freshness.OnConfirmedByPeer(At(seconds(100)), Duration::zero(),
                                            At(seconds(14)));
  BOOST_TEST(!configuration_freshness.IsFresh(At(seconds(14))));
}

BOOST_AUTO_TEST_SUITE_END()

Peer MakePeer(const std::string& name, const std::string& zone, uint16_t port) {
  return {name, zone, {"192.0.2.1", port}, {"192.0.2.1", 80}, true};
}

struct PeerFixture {
  PeerFixture()
      : peers(MakePeer("a-1", "a", 1), seconds(2)),
        other(MakePeer("a-2", "a", 2)),
        remote(MakePeer("b-1", "b", 3)) {
    peers.SetServing(true);
  }

  void Hear(const Peer& peer, Timestamp now, bool serving = true) {
    peers.OnIdentity(peer, now);
    PeerStatus status;
    status.serving = serving;
    peers.OnHeartbeat(peer.peer_address, status, now);
  }

  PeerSet peers;
  Peer other;
  Peer remote;
};

BOOST_FIXTURE_TEST_SUITE(callers_are_told_of_nodes, PeerFixture)

BOOST_AUTO_TEST_CASE(of_their_own_zone_if_it_has_enough) {
  Hear(other, At(seconds(0)));
  Hear(remote, At(seconds(0)));
  BOOST_TEST(peers.ServingFor("a", At(seconds(1))).size() == 2u);
  BOOST_TEST(peers.ServingFor("b", At(seconds(1))).size() == 3u);
}

BOOST_AUTO_TEST_CASE(that_have_not_fallen_silent) {
  Hear(other, At(seconds(0)));
  BOOST_TEST(peers.ServingFor("a", At(seconds(2))).size() == 2u);
  BOOST_TEST(peers.ServingFor("a", At(milliseconds(2'100))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(that_take_new_callers) {
  Hear(other, At(seconds(0)), false);
  BOOST_TEST(peers.ServingFor("a", At(seconds(1))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(not_of_those_that_are_known_by_a_record_only) {
  peers.OnRecord(other, At(seconds(0)));
  BOOST_TEST(peers.ServingFor("a", At(seconds(0))).size() == 1u);
  BOOST_TEST(peers.PossiblyAlive(At(seconds(0))).size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(requests_of_the_fleet, PeerFixture)

BOOST_AUTO_TEST_CASE(are_those_of_each_node_here_and_of_whole_zones_elsewhere) {
  constexpr uint32_t kService = 7;
  const Peer second_remote = MakePeer("b-2", "b", 4);
  const auto hear = [&](const Peer& peer, uint32_t requests, Timestamp now) {
    Hear(peer, now);
    PeerStatus status;
    status.serving = true;
    status.requests = ServiceRequests{{kService, requests}};
    peers.OnHeartbeat(peer.peer_address, status, now);
  };
  hear(other, 5, At(seconds(0)));
  hear(remote, 40, At(seconds(0)));
  hear(second_remote, 43, At(milliseconds(100)));
  BOOST_TEST(peers.ZoneRequests(kService, 3, At(seconds(1))) == 8u);
  // The later of the two counts of the other zone.
  BOOST_TEST(peers.FleetRequests(kService, 3, At(seconds(1))) == 51u);
  BOOST_TEST(peers.FleetRequests(kService + 1, 3, At(seconds(1))) == 3u);
  // A heartbeat that does not tell them changes nothing.
  Hear(other, At(seconds(1)));
  BOOST_TEST(peers.ZoneRequests(kService, 3, At(seconds(2))) == 8u);
  // Whoever has fallen silent has none.
  BOOST_TEST(peers.ZoneRequests(kService, 3, At(seconds(9))) == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(limits_are_shared_among_nodes, PeerFixture)

BOOST_AUTO_TEST_CASE(also_with_one_that_is_cut_off) {
  Hear(other, At(seconds(0)));
  BOOST_TEST(peers.PossiblyAlive(At(seconds(60))).size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(heartbeats, PeerFixture)

// A node that was replaced may have left its record behind, with this node's
// address.
BOOST_AUTO_TEST_CASE(never_go_to_the_sender_itself) {
  peers.OnRecord(MakePeer("a-0", "a", 1), At(seconds(0)));
  peers.OnRecord(MakePeer("b-0", "b", 1), At(seconds(0)));
  BOOST_TEST(peers.ZoneTargets(At(seconds(0))).empty());
  BOOST_TEST(peers.RemoteTargets(At(seconds(0))).empty());
}

// Replays a zone of 59 gateways, which send each other one every 1.2 s.
BOOST_AUTO_TEST_CASE(of_a_large_zone_may_be_as_far_apart_as_they_say) {
  peers.OnIdentity(other, At(seconds(0)));
  PeerStatus status;
  status.serving = true;
  status.interval = milliseconds(1'200);
  peers.OnHeartbeat(other.peer_address, status, At(seconds(0)));
  BOOST_TEST(peers.ServingFor("a", At(milliseconds(3'500))).size() == 2u);
  BOOST_TEST(peers.ServingFor("a", At(milliseconds(3'700))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(reach_all_of_the_zone_and_a_few_of_each_other) {
  for (uint16_t i = 0; i < 20; ++i) {
    peers.OnRecord(MakePeer("a-x" + std::to_string(i), "a", 100 + i),
                   At(seconds(0)));
    peers.OnRecord(MakePeer("b-x" + std::to_string(i), "b", 200 + i),
                   At(seconds(0)));
  }
  BOOST_TEST(peers.ZoneTargets(At(seconds(0))).size() == 20u);
  BOOST_TEST(peers.RemoteTargets(At(seconds(0))).size() ==
             PeerSet::kRemoteTargets);
}

BOOST_AUTO_TEST_CASE(come_less_often_in_a_large_zone) {
  BOOST_TEST((peers.HeartbeatInterval(milliseconds(250), At(seconds(0))) ==
              milliseconds(250)));
  for (uint16_t i = 0; i < 57; ++i) {
    Hear(MakePeer("a-x" + std::to_string(i), "a", 100 + i), At(seconds(0)));
  }
  BOOST_TEST((peers.HeartbeatInterval(milliseconds(250), At(seconds(0))) ==
              milliseconds(1'160)));
}

BOOST_AUTO_TEST_CASE(tell_who_asks_the_store_for_a_zone) {
  BOOST_TEST(peers.IsZoneLeader(At(seconds(0))));
  Hear(MakePeer("a-0", "a", 9), At(seconds(0)));
  BOOST_TEST(!peers.IsZoneLeader(At(seconds(1))));
  BOOST_TEST(peers.IsZoneLeader(At(seconds(3))));
  Hear(remote, At(seconds(3)));
  BOOST_TEST(peers.IsZoneLeader(At(seconds(3))));
}

BOOST_AUTO_TEST_CASE(of_unknown_senders_are_left_out) {
  BOOST_TEST(!peers.OnHeartbeat({"192.0.2.9", 9}, {}, At(seconds(0))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
