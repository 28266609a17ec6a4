#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/peers/peer_set.h"
#include "libteaselthread/routes/configuration_freshness.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;

BOOST_AUTO_TEST_SUITE(a_node_that_its_peers_do_not_inform)

BOOST_AUTO_TEST_CASE(asks_well_before_any_bound_is_over) {
  for (const Duration configuration_bound :
       {seconds(1), seconds(2), seconds(3), seconds(4), seconds(9)}) {
    for (const Duration revocation_bound : {seconds(2), seconds(5)}) {
      for (const double jitter : {0.0, 0.3, 1.0}) {
        const Duration age = ConfigurationFreshness::MaxUnconfirmedAge(
            configuration_bound, revocation_bound, jitter);
        BOOST_TEST((age <= configuration_bound - milliseconds(500)));
        BOOST_TEST((age <= revocation_bound - milliseconds(500)));
        BOOST_TEST((age > milliseconds(400)));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(does_not_ask_at_the_same_time_as_the_others) {
  const auto age = [](double jitter) {
    return ConfigurationFreshness::MaxUnconfirmedAge(seconds(2), seconds(5),
                                                     jitter);
  };
  BOOST_TEST((age(0) - age(1) >= milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_configuration_is_fresh)

BOOST_AUTO_TEST_CASE(only_after_a_confirmation) {
  ConfigurationFreshness configuration_freshness(seconds(5));
  BOOST_TEST(!configuration_freshness.IsFresh(At(seconds(0))));
  BOOST_TEST(!configuration_freshness.Age(At(seconds(0))).has_value());
}

BOOST_AUTO_TEST_CASE(until_its_confirmation_is_too_old) {
  ConfigurationFreshness configuration_freshness(seconds(5));
  configuration_freshness.OnConfirmed(At(seconds(10)));
  BOOST_TEST(configuration_freshness.IsFresh(At(seconds(15))));
  BOOST_TEST(!configuration_freshness.IsFresh(At(milliseconds(15'001))));
}

BOOST_AUTO_TEST_CASE(no_longer_after_a_late_older_confirmation) {
  ConfigurationFreshness configuration_freshness(seconds(5));
  configuration_freshness.OnConfirmed(At(seconds(10)));
  configuration_freshness.OnConfirmed(At(seconds(3)));
  BOOST_TEST((*configuration_freshness.Age(At(seconds(11))) == seconds(1)));
}

BOOST_AUTO_TEST_CASE(by_a_peers_confirmation_aged_from_the_echoed_time) {
  ConfigurationFreshness configuration_freshness(seconds(5));
  // The transit time of the peer's message is unknown. The age counts from the
  // time at which this node sent the heartbeat that the peer had received
  // before it sent its message.
  configuration_freshness.OnConfirmedByPeer(At(seconds(10)), milliseconds(700),
                                            At(seconds(14)));
  BOOST_TEST(
      (*configuration_freshness.Age(At(seconds(14))) == milliseconds(4'700)));
}

BOOST_AUTO_TEST_CASE(not_by_an_echo_from_before_a_clock_restart) {
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

  void ReceiveHeartbeat(const Peer& peer, Timestamp now, bool serving = true) {
    peers.OnIdentity(peer, now);
    PeerStatus status;
    status.serving = serving;
    peers.OnHeartbeat(peer.peer_address, status, now);
  }

  PeerSet peers;
  Peer other;
  Peer remote;
};

BOOST_FIXTURE_TEST_SUITE(callers_get_the_addresses_of_nodes, PeerFixture)

BOOST_AUTO_TEST_CASE(of_their_own_zone_if_it_has_enough) {
  ReceiveHeartbeat(other, At(seconds(0)));
  ReceiveHeartbeat(remote, At(seconds(0)));
  BOOST_TEST(peers.ServingFor("a", At(seconds(1))).size() == 2u);
  BOOST_TEST(peers.ServingFor("b", At(seconds(1))).size() == 3u);
}

BOOST_AUTO_TEST_CASE(that_still_send_heartbeats) {
  ReceiveHeartbeat(other, At(seconds(0)));
  BOOST_TEST(peers.ServingFor("a", At(seconds(2))).size() == 2u);
  BOOST_TEST(peers.ServingFor("a", At(milliseconds(2'100))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(that_accept_new_callers) {
  ReceiveHeartbeat(other, At(seconds(0)), false);
  BOOST_TEST(peers.ServingFor("a", At(seconds(1))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(not_of_nodes_known_only_from_a_record) {
  peers.OnRecord(other, At(seconds(0)));
  BOOST_TEST(peers.ServingFor("a", At(seconds(0))).size() == 1u);
  BOOST_TEST(peers.PossiblyAlive(At(seconds(0))).size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(requests_of_the_fleet, PeerFixture)

BOOST_AUTO_TEST_CASE(are_those_of_each_node_here_and_of_whole_zones_elsewhere) {
  constexpr uint32_t kService = 7;
  const Peer second_remote = MakePeer("b-2", "b", 4);
  const auto receive_heartbeat = [&](const Peer& peer, uint32_t requests,
                                     Timestamp now) {
    ReceiveHeartbeat(peer, now);
    PeerStatus status;
    status.serving = true;
    status.requests = ServiceRequests{{kService, requests}};
    peers.OnHeartbeat(peer.peer_address, status, now);
  };
  receive_heartbeat(other, 5, At(seconds(0)));
  receive_heartbeat(remote, 40, At(seconds(0)));
  receive_heartbeat(second_remote, 43, At(milliseconds(100)));
  BOOST_TEST(peers.ZoneRequests(kService, 3, At(seconds(1))) == 8u);
  // 8 in this zone and 43 in the other, whose newer count is used.
  BOOST_TEST(peers.FleetRequests(kService, 3, At(seconds(1))) == 51u);
  BOOST_TEST(peers.FleetRequests(kService + 1, 3, At(seconds(1))) == 3u);
  // A heartbeat without request counts changes nothing.
  ReceiveHeartbeat(other, At(seconds(1)));
  BOOST_TEST(peers.ZoneRequests(kService, 3, At(seconds(2))) == 8u);
  // Nodes that no longer send heartbeats are not counted.
  BOOST_TEST(peers.ZoneRequests(kService, 3, At(seconds(9))) == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(limits_are_shared_among_nodes, PeerFixture)

BOOST_AUTO_TEST_CASE(also_with_a_node_that_is_partitioned) {
  ReceiveHeartbeat(other, At(seconds(0)));
  BOOST_TEST(peers.PossiblyAlive(At(seconds(60))).size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(heartbeats, PeerFixture)

// A node that was replaced may have left a record in the store with the address
// that this node has now.
BOOST_AUTO_TEST_CASE(never_go_to_the_sender_itself) {
  peers.OnRecord(MakePeer("a-0", "a", 1), At(seconds(0)));
  peers.OnRecord(MakePeer("b-0", "b", 1), At(seconds(0)));
  BOOST_TEST(peers.ZoneTargets(At(seconds(0))).empty());
  BOOST_TEST(peers.RemoteTargets(At(seconds(0))).empty());
}

// Guards against marking nodes of a large zone as dead: in a zone of 59
// gateways, each sends a heartbeat to the others every 1.2 s.
BOOST_AUTO_TEST_CASE(of_a_large_zone_time_out_by_their_stated_interval) {
  peers.OnIdentity(other, At(seconds(0)));
  PeerStatus status;
  status.serving = true;
  status.interval = milliseconds(1'200);
  peers.OnHeartbeat(other.peer_address, status, At(seconds(0)));
  BOOST_TEST(peers.ServingFor("a", At(milliseconds(3'500))).size() == 2u);
  BOOST_TEST(peers.ServingFor("a", At(milliseconds(3'700))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(go_to_all_nodes_of_the_zone_and_a_few_of_others) {
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

BOOST_AUTO_TEST_CASE(are_less_frequent_in_a_large_zone) {
  BOOST_TEST((peers.HeartbeatInterval(milliseconds(250), At(seconds(0))) ==
              milliseconds(250)));
  for (uint16_t i = 0; i < 57; ++i) {
    ReceiveHeartbeat(MakePeer("a-x" + std::to_string(i), "a", 100 + i),
                     At(seconds(0)));
  }
  BOOST_TEST((peers.HeartbeatInterval(milliseconds(250), At(seconds(0))) ==
              milliseconds(1'160)));
}

BOOST_AUTO_TEST_CASE(determine_the_leader_of_a_zone) {
  BOOST_TEST(peers.IsZoneLeader(At(seconds(0))));
  ReceiveHeartbeat(MakePeer("a-0", "a", 9), At(seconds(0)));
  BOOST_TEST(!peers.IsZoneLeader(At(seconds(1))));
  BOOST_TEST(peers.IsZoneLeader(At(seconds(3))));
  ReceiveHeartbeat(remote, At(seconds(3)));
  BOOST_TEST(peers.IsZoneLeader(At(seconds(3))));
}

BOOST_AUTO_TEST_CASE(of_unknown_senders_are_ignored) {
  BOOST_TEST(!peers.OnHeartbeat({"192.0.2.9", 9}, {}, At(seconds(0))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
