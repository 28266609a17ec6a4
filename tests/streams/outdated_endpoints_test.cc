#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "gateway/gateway_harness.h"
#include "libteaselthread/rendezvous_hash.h"
#include "platform/wire_names.h"
#include "store_epochs/restorable_store.h"
#include "teaselthread/store/store_controller.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::EventChunk;
using test::Field;
using test::HasStatus;
using test::IsComplete;
using test::kLastChunk;
using test::MakeRequest;
using test::ScriptedEndpoint;
using test::StreamHead;
using Reply = ScriptedEndpoint::Reply;

constexpr Duration kTick = milliseconds(20);
// Longer than the store lets a watch wait.
constexpr Duration kWatchTime = milliseconds(150);
const uint32_t kServiceHash = ShortHash("pool");

GatewaySettings WithStore(const SocketAddress& self,
                          const SocketAddress& store) {
  std::string text = "[gateway]\nname = node-b\nzone = a\nlog_level = error\n";
  for (const char* key : {"front_listen", "readiness_listen",
                          "directory_listen", "metrics_listen", "peer_listen"})
    text += std::string(key) + " = " + self.ToString() + "\n";
  text += "store = " + store.ToString() + "\n";
  return GatewaySettings::Parse(text, "test").TakeValue();
}

// In seconds; 0 if there is none.
double RetryAfterOf(const std::string& response) {
  const std::string name = "Retry-After: ";
  const size_t start = response.find(name);
  return start == std::string::npos
             ? 0
             : std::stod(response.substr(start + name.size()));
}

constexpr Duration kRewriteTime = milliseconds(2'300);

// A gateway that has known version 1 for long, and a store in which version 2
// joins. Streams begin at version 2 through other gateways.
struct OutdatedFixture {
  // `is_marked`: the gateway knows that the store was not restored just now.
  explicit OutdatedFixture(bool is_marked = true)
      : store(&harness.io()), first(StartEngine()), second(StartEngine()) {
    GatewayState& state = harness.state();
    state.Reload(WithStore(state.settings().front_listen(), store.address()));
    RouteTableParts parts = test::MakeRoutes().parts();
    parts.version = 2;
    for (ServiceSpec& service : parts.services)
      service.cold_start = Duration::zero();
    state.UpdateRoutes(RouteTable::Create(std::move(parts)).TakeValue());
    controller = std::make_unique<StoreController>(&state);
    state.set_endpoint_confirmation([this](Duration max_age) {
      return controller->ConfirmEndpoints(max_age);
    });
    WriteEngine("1", *first);
    store.Copy();
    if (is_marked)
      state.store_restoration().OnMarker(1);
    controller->Start();
    Run(kWatchTime);
    state.version_history().OnListed(state.Now() - seconds(60));
  }

  std::unique_ptr<ScriptedEndpoint> StartEngine() {
    return std::make_unique<ScriptedEndpoint>(
        &harness.io(), [](const std::string&, const std::string& id, int) {
          return Reply{StreamHead(id) + EventChunk(2) + kLastChunk};
        });
  }
  void WriteEngine(const std::string& version, const ScriptedEndpoint& engine) {
    store.Write(StoreKind::kEndpoints, "engine-" + version,
                R"({"service":"pool","zone":"a","slots":64,"state":"ready",)"
                R"("cold_left_ms":0,"born":5,"version":")" +
                    version + R"(","address":")" + engine.address().ToString() +
                    R"("})");
  }
  // Heartbeats of a zone leader that knows of no change since `revision`, if
  // there is one.
  void Run(Duration time, std::optional<uint64_t> revision = std::nullopt) {
    GatewayState& state = harness.state();
    const Peer leader{
        "a-leader", "a", {"192.0.2.9", 9}, {"192.0.2.9", 8}, true};
    for (Duration passed{}; passed < time; passed += kTick) {
      if (revision) {
        PeerStatus status;
        status.serving = true;
        status.configuration_version = 2;
        status.configuration_age = Duration::zero();
        status.echoed_at = GatewayState::BootNow();
        status.lists[0] = ListStatus{*revision, *revision, {}, {}};
        status.lists[1] = status.lists[0];
        state.peers().OnIdentity(leader, state.Now());
        state.peers().OnHeartbeat(leader.peer_address, status, state.Now());
        controller->OnPeerStatus(status);
      }
      state.timers().Advance(state.Now());
      harness.RunFor(kTick);
    }
  }
  // The store does not answer the gateway's watch while version 2 joins.
  void JoinUnnoticed() {
    store.set_silent(true);
    Run(kWatchTime);
    WriteEngine("2", *second);
  }
  // Version 2 has joined and left by the time of the gateway's next call.
  void JoinAndLeaveUnnoticed() {
    JoinUnnoticed();
    store.Remove(StoreKind::kEndpoints, "engine-2");
    store.set_silent(false);
  }
  // What the records of the other gateways say of versions that have served.
  void AddRecords(const std::set<std::string>& versions) {
    harness.state().set_stream_record_source(
        [this, versions](Duration) -> asio::awaitable<bool> {
          VersionHistory& history = harness.state().version_history();
          const Timestamp now = harness.state().Now();
          for (const std::string& version : versions)
            history.OnRecorded(kServiceHash, version, now);
          history.OnRecordsRead(now);
          ++record_reads;
          co_return true;
        });
  }
  // The record of a stream that began at version 2 is in the store.
  void AddRecord() {
    harness.state().set_stream_record_source(
        [this](Duration) -> asio::awaitable<bool> {
          GatewayState& state = harness.state();
          state.stream_origins().Add(StreamKey::Of("pool", "office", "id-1"),
                                     kServiceHash, "2", state.Now());
          co_return true;
        });
  }
  // A caller whose stream broke off elsewhere continues it at this gateway.
  std::string Resume() {
    return harness.Exchange(
        MakeRequest("POST", "/chat/", "id-" + std::to_string(++requests),
                    "body",
                    Field(platform::kLastEventId, "1") +
                        Field(platform::kResumes, "id-1")),
        IsComplete);
  }
  void CheckIsRefused() {
    const std::string response = Resume();
    BOOST_TEST(HasStatus(response, "503"), response);
    BOOST_TEST(response.find("stream-origin-unknown") != std::string::npos);
    BOOST_TEST(first->heads().size() + second->heads().size() == 0u);
  }
  // Refused with the time to come back, and continued at version 1 after it.
  void CheckIsContinuedWhenAllIsBack() {
    const std::string response = Resume();
    BOOST_TEST(HasStatus(response, "503"), response);
    BOOST_TEST(RetryAfterOf(response) > 1.5);
    Run(kRewriteTime);
    BOOST_TEST(HasStatus(Resume(), "200"));
    BOOST_TEST(first->heads().size() == 1u);
  }

  test::GatewayHarness harness;
  test::RestorableStore store;
  std::unique_ptr<ScriptedEndpoint> first;   // of version 1
  std::unique_ptr<ScriptedEndpoint> second;  // of version 2
  std::unique_ptr<StoreController> controller;
  int requests = 1;
  int record_reads = 0;
};

// The same gateway has started just after the store was restored.
struct JustStartedFixture : OutdatedFixture {
  JustStartedFixture() : OutdatedFixture(false) {
    harness.state().version_history().OnListed(harness.state().Now());
    AddRecords({});
  }
};

BOOST_FIXTURE_TEST_SUITE(a_gateway_where_a_stream_is_resumed, OutdatedFixture)

BOOST_AUTO_TEST_SUITE(that_has_not_heard_of_a_version_that_joined)

// Guards against streams that are joined from two versions: the gateway took
// the version that it knew for the only one.
BOOST_AUTO_TEST_CASE(continues_it_at_no_version_while_it_is_cut_off) {
  JoinUnnoticed();
  CheckIsRefused();
}

BOOST_AUTO_TEST_CASE(refuses_it_at_once_if_it_knows_that_it_is_cut_off) {
  JoinUnnoticed();
  CheckIsRefused();
  const std::string metric =
      R"(teaselthread_streams_resumed_total{reason="unconfirmed"} 1)";
  BOOST_TEST(harness.state().RenderMetrics().find(metric) != std::string::npos);
  const auto start = std::chrono::steady_clock::now();
  CheckIsRefused();
  BOOST_TEST((std::chrono::steady_clock::now() - start < milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(continues_it_at_that_version_if_the_store_responds_again) {
  AddRecord();
  JoinUnnoticed();
  store.set_silent(false);
  BOOST_TEST(HasStatus(Resume(), "200"));
  BOOST_TEST(first->heads().size() == 0u);
  BOOST_TEST(second->heads().size() == 1u);
}

BOOST_AUTO_TEST_CASE(refuses_it_if_there_is_no_record_of_it_either) {
  JoinUnnoticed();
  store.set_silent(false);
  CheckIsRefused();
}

// A relayed batch was lost, or the leader has not heard of it either.
BOOST_AUTO_TEST_CASE(asks_the_store_although_its_zone_leader_informs_it) {
  AddRecord();
  const uint64_t revision = store.revision();
  Run(milliseconds(600), revision);
  WriteEngine("2", *second);
  Run(milliseconds(100), revision);
  BOOST_TEST(HasStatus(Resume(), "200"));
  BOOST_TEST(first->heads().size() == 0u);
  BOOST_TEST(second->heads().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_was_frozen_while_a_version_joined_and_left)

// Guards against streams that are joined from two versions: the gateway looked
// only at the endpoints that were left after all changes of a batch.
BOOST_AUTO_TEST_CASE(continues_it_at_no_other_version) {
  JoinAndLeaveUnnoticed();
  CheckIsRefused();
}

// Guards against the same where the store has discarded its history: no list
// shows what joined and left.
BOOST_AUTO_TEST_CASE(asks_the_records_what_the_list_does_not_show) {
  AddRecords({"1", "2"});
  JoinAndLeaveUnnoticed();
  store.Forget();
  CheckIsRefused();
}

BOOST_AUTO_TEST_CASE(refuses_it_if_the_records_cannot_be_read) {
  JoinAndLeaveUnnoticed();
  store.Forget();
  CheckIsRefused();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_follows_a_store_restored_from_an_older_copy)

// Guards against streams that are joined from two versions: the version that
// began the stream has not registered again, and the records are lost.
BOOST_AUTO_TEST_CASE(continues_it_when_all_endpoints_are_back) {
  AddRecords({});
  store.Restore();
  Run(kWatchTime);
  CheckIsContinuedWhenAllIsBack();
}

// Guards against the same where what was read of the records was not yet
// written again.
BOOST_AUTO_TEST_CASE(reads_the_records_again_when_all_is_back) {
  AddRecords({});
  store.Restore();
  Run(kWatchTime);
  CheckIsRefused();
  AddRecords({"1", "2"});
  Run(kRewriteTime);
  CheckIsRefused();
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against the same at a process that knows no earlier epoch.
BOOST_FIXTURE_TEST_SUITE(that_has_started_after_a_restoration,
                         JustStartedFixture)

BOOST_AUTO_TEST_CASE(continues_it_when_all_endpoints_are_back) {
  CheckIsContinuedWhenAllIsBack();
}

BOOST_AUTO_TEST_CASE(refuses_it_if_the_other_version_is_back_meanwhile) {
  CheckIsRefused();
  WriteEngine("2", *second);
  Run(kRewriteTime);
  CheckIsRefused();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_one_version_serves)

BOOST_AUTO_TEST_CASE(continues_it_there_after_the_store_discarded_its_history) {
  AddRecords({});
  store.set_silent(true);
  Run(kWatchTime);
  store.Write(StoreKind::kNodes, "node-c", "{}");
  store.Forget();
  store.set_silent(false);
  BOOST_TEST(HasStatus(Resume(), "200"));
  BOOST_TEST(HasStatus(Resume(), "200"));
  BOOST_TEST(record_reads == 1);
}

BOOST_AUTO_TEST_CASE(continues_it_there_with_one_call_for_several_streams) {
  const uint64_t revision = store.revision();
  Run(milliseconds(600), revision);
  const int reads = store.reads(StoreKind::kEndpoints);
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(HasStatus(Resume(), "200"));
  BOOST_TEST(store.reads(StoreKind::kEndpoints) == reads + 1);
  Run(milliseconds(400), revision);
  BOOST_TEST(store.reads(StoreKind::kEndpoints) == reads + 1);
  BOOST_TEST(first->heads().size() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
