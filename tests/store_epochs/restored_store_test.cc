#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>

#include "gateway/gateway_fixtures.h"
#include "store_epochs/restorable_store.h"
#include "teaselthread/store/fleet_records.h"
#include "teaselthread/store/node_registrar.h"
#include "teaselthread/store/store_controller.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(20);
constexpr Duration kReactionTime = milliseconds(1'000);

constexpr char kEndpointSpec[] =
    R"({"service":"pool","address":"192.0.2.9:8080","zone":"a","slots":64,
        "state":"ready","cold_left_ms":0,"born":5})";

std::string ConfigurationSpec(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[],"tenants":[],"limits":{)"
         R"("max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// A gateway without peers. Its store has a configuration and an endpoint, of
// which a copy was taken.
struct RestoredFixture {
  RestoredFixture()
      : store(&io),
        state(&io, test::MakeSettings(store.address().port), &codec),
        controller(&state),
        fleet_records(&state) {
    WriteConfiguration(10);
    WriteEndpoint("e-1");
    store.Mark();
    store.Copy();
  }

  void WriteConfiguration(int version) {
    store.Write(StoreKind::kConfiguration, "main", ConfigurationSpec(version));
  }
  void WriteEndpoint(const std::string& id) {
    store.Write(StoreKind::kEndpoints, id, kEndpointSpec);
  }
  // Changes of another kind, so that the revisions rise.
  void WriteOthers(int count) {
    for (int i = 0; i < count; ++i)
      store.Write(StoreKind::kNodes, "n-" + std::to_string(i), "{}");
  }
  void Start() {
    controller.Start();
    fleet_records.Start();
    RunFor(milliseconds(300));
  }

  void RunFor(Duration time) {
    const Timestamp end = state.Now() + time;
    RunUntil([&] { return state.Now() >= end; });
  }
  void RunUntil(const std::function<bool()>& done) {
    for (int tick = 0; tick < 400 && !done(); ++tick) {
      state.timers().Advance(state.Now());
      io.run_for(kTick);
    }
  }
  // The leader of the zone states that it has read the lists in `epoch`.
  void RunWithLeader(StoreEpoch epoch, int ticks) {
    const Peer leader{
        "a-leader", "a", {"192.0.2.9", 9}, {"192.0.2.9", 8}, true};
    for (int tick = 0; tick < ticks; ++tick) {
      PeerStatus status;
      status.serving = true;
      status.configuration_version = 10;
      status.configuration_age = Duration::zero();
      status.echoed_at = GatewayState::BootNow();
      const uint64_t revision = store.revision();
      status.lists[0] = ListStatus{revision, revision, {}, epoch};
      status.lists[1] = status.lists[0];
      state.peers().OnIdentity(leader, state.Now());
      state.peers().OnHeartbeat(leader.peer_address, status, state.Now());
      controller.OnPeerStatus(status);
      RunFor(kTick);
    }
  }
  // A peer states that it has this version, and how old its confirmation is.
  void HearOf(uint64_t version, std::optional<Duration> age = std::nullopt) {
    PeerStatus status;
    status.configuration_version = version;
    status.configuration_age = age;
    status.echoed_at = GatewayState::BootNow();
    controller.OnPeerStatus(status);
  }
  // The longest time if nothing confirms the configuration.
  Duration ConfigurationAge() {
    return state.configuration_freshness()
        .Age(GatewayState::BootNow())
        .value_or(Duration::max());
  }
  bool HasEndpoint(const std::string& id) {
    const auto endpoints = state.endpoints().Running("pool");
    return std::any_of(
        endpoints.begin(), endpoints.end(),
        [&](const auto& item) { return item->record().id == id; });
  }

  asio::io_context io;
  platform::PlatformCodec codec;
  test::RestorableStore store;
  GatewayState state;
  StoreController controller;
  FleetRecords fleet_records;
};

BOOST_FIXTURE_TEST_SUITE(a_store_restored_from_an_older_copy, RestoredFixture)

// Guards against a list that is repeated without a pause while the store's
// revision is lower than the known one.
BOOST_AUTO_TEST_CASE(is_not_called_without_a_pause) {
  WriteOthers(100);
  Start();
  store.Restore();
  const int reads_before = store.reads(StoreKind::kEvacuations);
  RunFor(kReactionTime);
  const int reads = store.reads(StoreKind::kEvacuations) - reads_before;
  BOOST_TEST(reads < 60);
}

// Guards against a configuration that nothing confirms until the store's
// revision has passed the former one.
BOOST_AUTO_TEST_CASE(confirms_the_configuration) {
  WriteOthers(100);
  Start();
  store.Restore();
  RunFor(kReactionTime);
  BOOST_TEST((ConfigurationAge() < milliseconds(700)));
}

// Guards against changes after a restore that are not read, since their
// revisions are lower than the known one.
BOOST_AUTO_TEST_CASE(delivers_changes_with_lower_revisions) {
  WriteOthers(100);
  Start();
  store.Restore();
  WriteEndpoint("e-3");
  WriteConfiguration(11);
  RunFor(kReactionTime);
  BOOST_TEST(HasEndpoint("e-3"));
  BOOST_TEST(state.routes()->version() == 11u);
}

// Guards against a watch that goes on in another history, without 410, since
// the store has given out the known revision again.
BOOST_AUTO_TEST_CASE(is_listed_again_if_revisions_are_given_out_again) {
  WriteOthers(5);
  Start();
  store.Restore();
  WriteEndpoint("e-3");
  WriteOthers(50);
  RunFor(kReactionTime);
  BOOST_TEST(HasEndpoint("e-3"));
}

// Guards against endpoints that are removed before they have written
// themselves again.
BOOST_AUTO_TEST_CASE(leaves_endpoints_time_to_register_again) {
  WriteEndpoint("e-2");
  WriteEndpoint("e-4");
  Start();
  BOOST_REQUIRE(HasEndpoint("e-2"));
  store.Restore();
  RunFor(kReactionTime);
  BOOST_TEST(HasEndpoint("e-2"));
  WriteEndpoint("e-2");
  RunFor(milliseconds(2'500));
  BOOST_TEST(HasEndpoint("e-2"));
  BOOST_TEST(!HasEndpoint("e-4"));
}

// Guards against requests to a zone whose evacuation the copy does not have.
BOOST_AUTO_TEST_CASE(leaves_operators_time_to_evacuate_again) {
  store.Write(StoreKind::kEvacuations, "zone-b", "{}");
  store.Write(StoreKind::kEvacuations, "zone-c", "{}");
  Start();
  const auto evacuated = [this](const std::string& zone) {
    return state.endpoints().evacuated_zones().contains(zone);
  };
  BOOST_REQUIRE(evacuated("zone-b"));
  store.Restore();
  RunFor(kReactionTime);
  BOOST_TEST(evacuated("zone-b"));
  store.Write(StoreKind::kEvacuations, "zone-b", "{}");
  RunFor(milliseconds(2'500));
  BOOST_TEST(evacuated("zone-b"));
  BOOST_TEST(!evacuated("zone-c"));
}

// Guards against gateways that follow a zone leader into another history.
BOOST_AUTO_TEST_CASE(is_asked_if_the_zone_leader_names_a_newer_epoch) {
  WriteOthers(100);
  RunWithLeader(1, 1);
  Start();
  RunWithLeader(1, 20);
  const int reads_before = store.reads(StoreKind::kEndpoints);
  RunWithLeader(1, 20);
  BOOST_TEST(store.reads(StoreKind::kEndpoints) == reads_before);
  store.Restore();
  WriteEndpoint("e-3");
  RunWithLeader(2, 50);
  BOOST_TEST(HasEndpoint("e-3"));
}

BOOST_AUTO_TEST_CASE(does_not_bring_an_older_configuration_back) {
  WriteConfiguration(12);
  Start();
  store.Restore();
  RunFor(kReactionTime);
  BOOST_TEST(state.routes()->version() == 12u);
}

// Guards against revoked keys: a version that a peer has is not in the copy,
// and the gateway took its own one, as in the copy, for the newest.
BOOST_AUTO_TEST_CASE(confirms_no_version_that_is_older_than_a_peers) {
  Start();
  WriteOthers(3);
  store.Restore();
  RunFor(milliseconds(200));
  HearOf(11);
  RunFor(kReactionTime);
  BOOST_TEST((ConfigurationAge() > milliseconds(900)));
  WriteConfiguration(11);
  RunFor(kReactionTime);
  BOOST_TEST((ConfigurationAge() < milliseconds(700)));
}

// Guards against revoked keys: what the copy had confirmed stayed valid for the
// whole revocation bound after a peer had named a newer version.
BOOST_AUTO_TEST_CASE(
    confirms_nothing_from_the_time_a_peer_names_a_newer_version) {
  Start();
  WriteOthers(3);
  store.Restore();
  RunFor(kReactionTime);
  BOOST_REQUIRE((ConfigurationAge() < milliseconds(700)));
  HearOf(11);
  BOOST_TEST((ConfigurationAge() == Duration::max()));
}

// Guards against the same where the store seems to lack nothing any more.
BOOST_AUTO_TEST_CASE(confirms_nothing_if_it_does_not_have_a_peers_version) {
  Start();
  HearOf(11);
  BOOST_TEST((ConfigurationAge() < milliseconds(700)));
  RunFor(kReactionTime);
  BOOST_TEST((ConfigurationAge() == Duration::max()));
}

BOOST_AUTO_TEST_SUITE(just_before_a_gateway_starts)

// Guards against revoked keys: the first list of a process was confirmed before
// it had heard of the version that the copy lacks.
BOOST_AUTO_TEST_CASE(confirms_no_configuration) {
  store.Restore();
  Start();
  BOOST_TEST(state.routes()->version() == 10u);
  BOOST_TEST((ConfigurationAge() == Duration::max()));
  HearOf(11, milliseconds(100));
  RunFor(kReactionTime);
  BOOST_TEST((ConfigurationAge() == Duration::max()));
  WriteConfiguration(11);
  RunFor(kReactionTime);
  HearOf(11, milliseconds(100));
  BOOST_TEST((ConfigurationAge() < milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(confirms_the_configuration_when_all_is_written_again) {
  store.Restore();
  Start();
  RunFor(milliseconds(3'000));
  BOOST_TEST((ConfigurationAge() < milliseconds(800)));
}

// Guards against a version that a peer names before the first list is read, and
// that was not remembered.
BOOST_AUTO_TEST_CASE(confirms_no_version_that_is_older_than_a_peers_either) {
  store.Restore();
  HearOf(11);
  Start();
  RunFor(milliseconds(3'000));
  BOOST_TEST((ConfigurationAge() == Duration::max()));
}

BOOST_AUTO_TEST_CASE(long_ago_confirms_the_configuration_at_once) {
  store.Restore();
  store.Mark();
  Start();
  BOOST_TEST((ConfigurationAge() < milliseconds(400)));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a gateway that others no longer find: its record is written
// only at its start.
BOOST_AUTO_TEST_CASE(gets_a_gateways_record_again) {
  NodeRegistrar registrar(&state);
  registrar.Start();
  RunFor(milliseconds(300));
  BOOST_TEST(store.writes(StoreKind::kNodes) == 1);
  RunFor(milliseconds(1'000));
  BOOST_TEST(store.writes(StoreKind::kNodes) == 2);
}

BOOST_AUTO_TEST_CASE(does_not_get_a_gateways_record_again_if_it_has_it) {
  const std::string address = store.address().ToString();
  store.Write(StoreKind::kNodes, state.settings().name(),
              R"({"zone":"a","peer_address":")" + address +
                  R"(","front_address":")" + address + R"("})");
  NodeRegistrar registrar(&state);
  registrar.Start();
  RunFor(milliseconds(1'300));
  BOOST_TEST(store.reads(StoreKind::kNodes) == 1);
  BOOST_TEST(store.writes(StoreKind::kNodes) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
