#include "teaselthread/store/store_controller.h"

#include <boost/test/unit_test.hpp>

#include <functional>

#include "gateway/gateway_fixtures.h"
#include "gateway/gateway_harness.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::ScriptedEndpoint;

constexpr uint64_t kRevision = 7;
constexpr Duration kTick = milliseconds(20);

// A controller whose store responds to list calls but never to watch calls.
struct ControllerFixture {
  ControllerFixture()
      : store(&io,
              [this](const std::string& head, const std::string&, int) {
                return Respond(head);
              }),
        state(&io, test::MakeSettings(store.address().port), &codec),
        controller(&state) {
    state.UpdateRoutes(test::MakeRoutes());
    controller.Start();
    RunUntil([this] { return watches == 3; });
  }

  ScriptedEndpoint::Reply Respond(const std::string& head) {
    const std::string list = codec.ListTarget(StoreKind::kEndpoints, "", false);
    if (head.starts_with("GET " + list.substr(0, list.find('?'))))
      ++endpoint_calls;
    if (head.find('?') != std::string::npos &&
        !head.starts_with("GET " + list + " ")) {
      ++watches;
      return {};
    }
    return {test::MakeResponse("", R"({"items":[],"has_more":false,"at":)" +
                                       std::to_string(kRevision) + "}")};
  }

  void RunUntil(const std::function<bool()>& done) {
    for (int tick = 0; tick < 100 && !done(); ++tick) {
      state.timers().Advance(state.Now());
      io.run_for(kTick);
    }
  }

  static PeerStatus StatusOf(uint64_t endpoints_revision) {
    PeerStatus status;
    status.endpoints_revision = endpoints_revision;
    return status;
  }

  asio::io_context io;
  platform::PlatformCodec codec;
  int watches = 0;
  int endpoint_calls = 0;
  ScriptedEndpoint store;
  GatewayState state;
  StoreController controller;
};

BOOST_FIXTURE_TEST_SUITE(a_gateway_with_unresponsive_watches, ControllerFixture)

// Guards against requests to endpoints that have left. In a test run in which
// the store stopped responding for about a second at a time, one gateway of
// eight detected it, and the others sent such requests for up to five seconds.
BOOST_AUTO_TEST_CASE(reconnects_when_a_peer_announces_a_newer_revision) {
  const int calls_before = endpoint_calls;
  const Timestamp announced_at = state.Now();
  controller.OnPeerStatus(StatusOf(kRevision + 1));
  RunUntil([&] { return endpoint_calls > calls_before; });
  BOOST_TEST(endpoint_calls == calls_before + 1);
  // Without the announcement, the watch would fail only after 1.8 s.
  BOOST_TEST((state.Now() - announced_at < milliseconds(1'500)));
}

BOOST_AUTO_TEST_CASE(keeps_waiting_when_a_peer_announces_a_known_revision) {
  const int calls_before = endpoint_calls;
  controller.OnPeerStatus(StatusOf(kRevision));
  RunUntil([start = state.Now(), this] {
    return state.Now() - start > milliseconds(600);
  });
  BOOST_TEST(endpoint_calls == calls_before);
}

BOOST_AUTO_TEST_SUITE_END()

// A gateway in a zone whose leader is another one. The store responds at once
// to calls that do not wait for changes, and never to those that do.
struct InformedFixture {
  InformedFixture()
      : store(&io,
              [this](const std::string& head, const std::string&, int) {
                return Respond(head);
              }),
        state(&io, test::MakeSettings(store.address().port), &codec),
        controller(&state) {
    state.UpdateRoutes(test::MakeRoutes());
    leader.name = "a-leader";
    leader.zone = state.settings().zone();
    leader.peer_address = {"192.0.2.9", 9};
    leader.serving = true;
    SendStatus(kRevision);
    controller.Start();
  }

  ScriptedEndpoint::Reply Respond(const std::string& head) {
    const std::string target = head.substr(0, head.find("\r\n"));
    const std::string list = codec.ListTarget(StoreKind::kEndpoints, "", false);
    const std::string at = std::to_string(store_revision);
    if (target == "GET " + list + " HTTP/1.1" ||
        target.find("watch") == std::string::npos) {
      return {test::MakeResponse(
          "", R"({"items":[],"has_more":false,"at":)" + at + "}")};
    }
    const bool is_endpoint_watch =
        target.starts_with("GET " + list.substr(0, list.find('?')));
    const std::string configuration =
        codec.ObjectTarget(StoreKind::kConfiguration, "");
    if (is_endpoint_watch) {
      ++endpoint_watches;
      last_endpoint_target = target;
    }
    if (target.starts_with("GET " + configuration + "?"))
      ++configuration_watches;
    if (!store_responds && is_endpoint_watch)
      return {"", true};
    if (target.find("wait_ms=10 ") == std::string::npos)
      return {};
    return {test::MakeResponse("", R"({"events":[],"at":)" + at + "}")};
  }

  void SendStatus(uint64_t changed_at) {
    PeerStatus status;
    status.serving = true;
    status.configuration_version = announced_version;
    if (leader_confirms_configuration)
      status.configuration_age = configuration_age_of_leader;
    status.echoed_at = GatewayState::BootNow();
    status.lists[0] = ListStatus{changed_at, changed_at, leader_status_age};
    status.lists[1] = status.lists[0];
    state.peers().OnIdentity(leader, state.Now());
    state.peers().OnHeartbeat(leader.peer_address, status, state.Now());
    controller.OnPeerStatus(status);
  }

  void RunFor(Duration time, std::optional<uint64_t> changed_at) {
    const Timestamp end = state.Now() + time;
    while (state.Now() < end) {
      if (changed_at)
        SendStatus(*changed_at);
      state.timers().Advance(state.Now());
      io.run_for(kTick);
    }
  }

  asio::io_context io;
  platform::PlatformCodec codec;
  uint64_t store_revision = kRevision;
  int endpoint_watches = 0;
  int configuration_watches = 0;
  uint64_t announced_version = 1;
  bool leader_confirms_configuration = true;
  Duration configuration_age_of_leader = Duration::zero();
  bool store_responds = true;
  Duration leader_status_age = Duration::zero();
  std::string last_endpoint_target;
  ScriptedEndpoint store;
  GatewayState state;
  Peer leader;
  StoreController controller;
};

BOOST_FIXTURE_TEST_SUITE(a_gateway_informed_by_its_zone_leader, InformedFixture)

// Hundreds of gateways that each watch the endpoints make as many calls for
// each change.
BOOST_AUTO_TEST_CASE(makes_no_watch_calls_of_its_own) {
  RunFor(milliseconds(1'000), kRevision);
  BOOST_TEST(endpoint_watches == 0);
  BOOST_TEST(configuration_watches == 0);
}

BOOST_AUTO_TEST_CASE(asks_for_a_version_that_a_peer_announces) {
  RunFor(milliseconds(400), kRevision);
  announced_version = 2;
  RunFor(milliseconds(100), kRevision);
  BOOST_TEST(configuration_watches == 1);
}

// Guards against configurations that are applied too late: the leaders of the
// zones lost the store, and the others relied on them for 3.5 s, although a new
// configuration has to be in force after 2 s.
BOOST_AUTO_TEST_CASE(has_its_configuration_confirmed_if_no_peer_does) {
  leader_confirms_configuration = false;
  RunFor(milliseconds(1'000), kRevision);
  BOOST_TEST(configuration_watches == 0);
  RunFor(milliseconds(750), kRevision);
  BOOST_TEST(configuration_watches > 0);
  const auto age = state.configuration_freshness().Age(GatewayState::BootNow());
  BOOST_REQUIRE(age.has_value());
  BOOST_TEST((*age < milliseconds(600)));
}

// The leader's statements are young, but what it knows of the store is not.
BOOST_AUTO_TEST_CASE(has_its_configuration_confirmed_if_the_leader_is_behind) {
  configuration_age_of_leader = seconds(3);
  RunFor(milliseconds(1'750), kRevision);
  BOOST_TEST(configuration_watches > 0);
}

BOOST_AUTO_TEST_CASE(watches_the_list_when_the_leader_is_lost) {
  RunFor(milliseconds(400), kRevision);
  RunFor(milliseconds(1'100), std::nullopt);
  BOOST_TEST(endpoint_watches == 0);
  // 0.68 of the drain bound of 2 s, and one check.
  RunFor(milliseconds(600), std::nullopt);
  BOOST_TEST(endpoint_watches == 1);
}

BOOST_AUTO_TEST_CASE(asks_the_store_once_for_a_change_that_was_not_relayed) {
  RunFor(milliseconds(1'000), kRevision);
  store_revision = kRevision + 2;
  RunFor(milliseconds(1'000), kRevision + 2);
  BOOST_TEST(endpoint_watches == 1);
}

BOOST_AUTO_TEST_CASE(applies_a_relayed_change_without_a_call) {
  RunFor(milliseconds(400), kRevision);
  const EndpointRecord record = test::MakeEngineRecord("e-1", "a");
  controller.OnRelayedPart(
      RelayedList::kEndpoints,
      {{kRevision, kRevision + 1, {{"e-1", false, record}}}, 0, 1});
  BOOST_TEST(state.endpoints().size() == 1u);
  controller.OnRelayedPart(
      RelayedList::kEvacuations,
      {{kRevision, kRevision + 2, {{"zone-b", false, std::nullopt}}}, 0, 1});
  BOOST_TEST(state.endpoints().evacuated_zones().contains("zone-b"));
  RunFor(milliseconds(1'000), kRevision + 1);
  BOOST_TEST(endpoint_watches == 0);
}

// A leader that keeps the long call it made before cannot tell its zone for how
// long nothing has changed.
BOOST_AUTO_TEST_CASE(shortens_its_call_when_it_becomes_the_leader) {
  // Its own status is too old, so the gateway watches the list itself.
  leader_status_age = seconds(5);
  RunFor(milliseconds(1'600), kRevision);
  BOOST_TEST(endpoint_watches == 1);
  // The leader is lost after the heartbeat timeout of 1.3 s.
  RunFor(milliseconds(1'600), std::nullopt);
  BOOST_TEST(endpoint_watches >= 2);
  BOOST_TEST(last_endpoint_target.find("wait_ms=500 ") != std::string::npos);
}

// Regression test: a hunted day with short silences of the store. A gateway
// whose last call had failed before its leader informed it again deferred the
// removals that the leader relayed, and sent requests to an engine that had
// left.
BOOST_AUTO_TEST_CASE(applies_relayed_removals_although_a_call_has_failed) {
  leader_status_age = seconds(5);
  store_responds = false;
  RunFor(milliseconds(2'600), kRevision);
  state.endpoints().Put(test::MakeEngineRecord("e-1", "a"), state.Now());
  controller.OnRelayedPart(
      RelayedList::kEndpoints,
      {{kRevision, kRevision + 1, {{"e-1", true, std::nullopt}}}, 0, 1});
  BOOST_TEST(state.endpoints().size() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
