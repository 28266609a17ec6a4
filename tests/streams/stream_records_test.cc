#include <boost/test/unit_test.hpp>

#include <memory>

#include "gateway/gateway_fixtures.h"
#include "heartbeat.pb.h"
#include "libteaselthread/rendezvous_hash.h"
#include "streams/record_store.h"
#include "teaselthread/gateway/heartbeat_conversion.h"
#include "teaselthread/streams/stream_recorder.h"
#include "teaselthread/streams/stream_reporter.h"

namespace teaselthread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kNode = 0x89abcdef;
constexpr size_t kMaxDatagramBytes = 1'400;
// Of the longest streams in MakeRoutes.
constexpr int64_t kRetentionMs = 24'000;
const uint32_t kService = ShortHash("pool");

// One gateway process. It no longer runs once its io_context does not.
struct Node {
  Node(const std::string& name, uint16_t peer_port, uint16_t store_port)
      : state(&io, MakeNodeSettings(name, peer_port, store_port), &codec),
        reader(&state),
        recorder(&state, &reader),
        heartbeat(PeerHeartbeat::Start(&state).TakeValue()),
        reporter(&state, heartbeat.get()) {
    state.UpdateRoutes(MakeRoutes());
    state.set_endpoints_known();
    state.configuration_freshness().OnConfirmed(GatewayState::BootNow());
    reporter.Start();
    recorder.Start();
  }

  static GatewaySettings MakeNodeSettings(const std::string& name,
                                          uint16_t peer_port,
                                          uint16_t store_port) {
    const std::string host = " = 127.0.0.1:";
    std::string text =
        "[gateway]\nname = " + name + "\nzone = a\nlog_level = error\n";
    for (const char* key : {"front_listen", "readiness_listen",
                            "directory_listen", "metrics_listen", "store"})
      text += key + host + std::to_string(store_port) + "\n";
    text += "peer_listen" + host + std::to_string(peer_port) + "\n";
    return GatewaySettings::Parse(text, "test").TakeValue();
  }

  void Serve(const std::set<std::string>& versions) {
    for (const std::string& version : versions)
      state.version_history().OnRegistered(kService, version, state.Now());
  }
  void Begin(uint64_t key, const std::string& version) {
    state.stream_origins().Add({key}, kService, version, state.Now());
  }
  std::string VersionOf(uint64_t key) {
    return state.stream_origins().VersionOf({key}).value_or("");
  }

  asio::io_context io;
  platform::PlatformCodec codec;
  GatewayState state;
  StreamRecordReader reader;
  StreamRecorder recorder;
  std::unique_ptr<PeerHeartbeat> heartbeat;
  StreamReporter reporter;
};

struct RecordsFixture {
  RecordsFixture() : store(&io) {}

  Node& Start(const std::string& name) {
    asio::ip::udp::socket probe(io, {asio::ip::make_address("127.0.0.1"), 0});
    const uint16_t port = probe.local_endpoint().port();
    probe.close();
    nodes.push_back(std::make_unique<Node>(name, port, store.port()));
    Node& added = *nodes.back();
    for (const auto& node : running) {
      node->state.peers().OnRecord(added.state.peers().self(),
                                   node->state.Now());
      added.state.peers().OnRecord(node->state.peers().self(),
                                   added.state.Now());
    }
    running.push_back(&added);
    return added;
  }
  // Starts `count` gateways, which then know each other.
  void StartZone(int count) {
    for (int i = 0; i < count; ++i)
      Start("edge-" + std::to_string(i));
    RunFor(milliseconds(400));
  }
  void Kill(const Node& node) {
    std::erase_if(running, [&](const Node* other) { return other == &node; });
  }
  void Serve(const std::set<std::string>& versions) {
    for (Node* node : running)
      node->Serve(versions);
  }

  bool RunUntil(const std::function<bool()>& done, Duration limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done()) {
      if (std::chrono::steady_clock::now() > end)
        return false;
      io.run_for(milliseconds(1));
      for (Node* node : running) {
        node->state.timers().Advance(node->state.Now());
        node->io.poll();
      }
    }
    return true;
  }
  void RunFor(Duration time) {
    RunUntil([] { return false; }, time);
  }
  std::optional<bool> Read(Node& node, Duration max_age = {}, int callers = 1) {
    std::optional<bool> result;
    int ended = 0;
    for (int i = 0; i < callers; ++i) {
      asio::co_spawn(node.io, node.reader.Read(max_age),
                     [&](const std::exception_ptr&, bool succeeded) {
                       result = result.value_or(true) && succeeded;
                       ++ended;
                     });
    }
    RunUntil([&] { return ended == callers; }, seconds(2));
    return result;
  }
  // Whether a gateway that knows nothing learns this from the store.
  bool IsRecorded(uint64_t key, const std::string& version) {
    for (const auto& [name, object] : store.objects) {
      const auto record = DecodeStreamRecord(object.content);
      for (const StreamOrigin& stream : record->streams) {
        if (stream.key.hash == key && stream.version == version)
          return true;
      }
    }
    return false;
  }
  void PutRecord(const std::string& name, int64_t age_ms, uint64_t key) {
    StreamRecord record;
    record.written_at_ms =
        GatewayState::UnixMilliseconds() - static_cast<uint64_t>(age_ms);
    record.streams = {{{key}, kService, "v1", seconds(1)}};
    store.objects[name] = {1, EncodeStreamRecord(record)};
  }

  asio::io_context io;
  RecordStore store;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Node*> running;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stream_records, RecordsFixture)

BOOST_AUTO_TEST_CASE(are_known_after_all_gateways_were_killed) {
  StartZone(3);
  running[2]->Begin(1, "v1");  // before the service is mixed
  Serve({"v1", "v2"});
  running[0]->Begin(2, "v2");
  BOOST_TEST(RunUntil(
      [&] { return IsRecorded(1, "v1") && IsRecorded(2, "v2"); }, seconds(2)));
  running.clear();
  Node& started = Start("edge-7");
  const Timestamp before = started.state.Now();
  BOOST_TEST(Read(started).value());
  BOOST_TEST(started.VersionOf(1) == "v1");
  BOOST_TEST(started.VersionOf(2) == "v2");
  const VersionHistory& history = started.state.version_history();
  BOOST_TEST(history.IsMixedSince(kService, before - seconds(5)));
  BOOST_TEST((history.records_read_at() >= before));
}

BOOST_AUTO_TEST_CASE(are_neither_sent_nor_written_while_one_version_serves) {
  StartZone(2);
  Serve({"v1"});
  running[1]->Begin(1, "v1");
  RunFor(milliseconds(900));
  BOOST_TEST(store.reads + store.writes == 0);
  BOOST_TEST(running[0]->VersionOf(1) == "");
}

BOOST_AUTO_TEST_CASE(are_written_by_the_leader_only_if_something_is_new) {
  StartZone(3);
  Serve({"v1", "v2"});
  running[2]->Begin(1, "v1");
  RunUntil([&] { return IsRecorded(1, "v1"); }, seconds(2));
  RunFor(milliseconds(700));
  const int writes = store.writes;
  RunFor(milliseconds(900));
  BOOST_TEST(store.writes == writes);
  BOOST_TEST(store.objects.size() == 1u);
}

BOOST_AUTO_TEST_CASE(are_written_by_the_deputy_of_a_leader_that_is_lost) {
  StartZone(3);
  store.is_down = true;
  Serve({"v1", "v2"});
  running[2]->Begin(1, "v1");
  RunFor(milliseconds(400));
  Kill(*nodes[0]);
  Kill(*nodes[2]);
  store.is_down = false;
  BOOST_TEST(RunUntil([&] { return IsRecorded(1, "v1"); }, seconds(6)));
}

// It uses the names of its former process again.
BOOST_AUTO_TEST_CASE(outlive_a_restart_of_their_writer) {
  Start("edge-0").Serve({"v1", "v2"});
  running[0]->Begin(1, "v1");
  BOOST_TEST(RunUntil([&] { return IsRecorded(1, "v1"); }, seconds(2)));
  running.clear();
  Start("edge-0").Serve({"v1", "v2"});
  running[0]->Begin(2, "v2");
  BOOST_TEST(RunUntil([&] { return IsRecorded(2, "v2"); }, seconds(2)));
  BOOST_TEST(IsRecorded(1, "v1"));
}

// The write may be executed later and replace what is written until then.
BOOST_AUTO_TEST_CASE(go_to_another_object_after_a_write_without_response) {
  Start("edge-0").Serve({"v1", "v2"});
  running[0]->Begin(1, "v1");
  BOOST_TEST(RunUntil([&] { return IsRecorded(1, "v1"); }, seconds(2)));
  store.unanswered_writes = 1;
  running[0]->Begin(2, "v2");
  BOOST_TEST(RunUntil([&] { return IsRecorded(2, "v2"); }, seconds(4)));
  BOOST_TEST(store.objects.size() == 2u);
}

// Guards against streams that no gateway continues: their records were lost
// when the store was restored, and nobody wrote them again.
BOOST_AUTO_TEST_CASE(are_written_again_if_the_store_was_restored) {
  Start("edge-0").Serve({"v1", "v2"});
  RunUntil([&] { return store.writes > 0; }, seconds(2));
  store.Copy();
  running[0]->Begin(1, "v1");
  BOOST_TEST(RunUntil([&] { return IsRecorded(1, "v1"); }, seconds(2)));
  store.Restore();
  BOOST_TEST(!IsRecorded(1, "v1"));
  // One of the gateway's watches is told.
  running[0]->state.OnStoreEpoch(2);
  BOOST_TEST(RunUntil([&] { return IsRecorded(1, "v1"); }, milliseconds(500)));
}

// Guards against the same for a write that was executed before the restoration
// and has its response after it.
BOOST_AUTO_TEST_CASE(are_written_again_if_their_own_write_was_lost) {
  Start("edge-0").Serve({"v1", "v2"});
  RunUntil([&] { return store.writes > 0; }, seconds(2));
  RunFor(milliseconds(200));
  store.Copy();
  store.restores_after_write = true;
  running[0]->Begin(1, "v1");
  BOOST_TEST(RunUntil([&] { return !store.restores_after_write; }, seconds(1)));
  BOOST_TEST(!IsRecorded(1, "v1"));
  BOOST_TEST(RunUntil([&] { return IsRecorded(1, "v1"); }, seconds(1)));
}

BOOST_AUTO_TEST_CASE(are_written_once_more_by_a_leaving_gateway) {
  Start("edge-0").Serve({"v1", "v2"});
  RunUntil([&] { return store.writes > 0; }, seconds(2));
  RunFor(milliseconds(50));
  running[0]->Begin(1, "v1");
  running[0]->state.BeginLeaving(running[0]->state.Now());
  BOOST_TEST(RunUntil([&] { return IsRecorded(1, "v1"); }, milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(are_read_once_for_several_callers) {
  Node& node = Start("edge-0");
  BOOST_TEST(Read(node, milliseconds(0), 5).value());
  BOOST_TEST(store.reads == 1);
  BOOST_TEST(Read(node, seconds(2)).value());
  BOOST_TEST(store.reads == 1);
  store.is_down = true;
  BOOST_TEST(!Read(node).value());
}

BOOST_AUTO_TEST_CASE(that_are_unreadable_hide_only_themselves) {
  for (const char* content :
       {"7", R"({"written_at_ms":-1,"services":[]})",
        R"({"written_at_ms":1,"services":[{"service":1,"versions":[7]}]})"})
    store.objects["bad-" + std::to_string(store.objects.size())] = {
        1, boost::json::parse(content)};
  PutRecord("good-0", 0, 1);
  // Its writer's clock is ahead.
  PutRecord("good-1", -3'000, 2);
  Node& node = Start("edge-0");
  BOOST_TEST(Read(node).value());
  BOOST_TEST(node.VersionOf(1) == "v1");
  BOOST_TEST(node.VersionOf(2) == "v1");
}

BOOST_AUTO_TEST_CASE(that_are_old_are_ignored_and_then_removed) {
  PutRecord("edge-0-1", kRetentionMs + 70'000, 1);
  PutRecord("edge-1-1", kRetentionMs + 70'000, 2);
  PutRecord("edge-1-2", kRetentionMs + 50'000, 3);
  PutRecord("edge-1-3", kRetentionMs + 1'000, 4);
  Node& node = Start("edge-0");
  BOOST_TEST(Read(node).value());
  RunUntil([&] { return store.objects.size() < 4; }, seconds(1));
  BOOST_TEST(!store.objects.contains("edge-1-1"));
  BOOST_TEST(store.objects.size() == 3u);
  BOOST_TEST(node.VersionOf(3) == "");
  BOOST_TEST(node.VersionOf(4) == "v1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_stream_report)

std::vector<StreamOrigin> MakeStreams(size_t count) {
  std::vector<StreamOrigin> streams;
  for (uint64_t i = 0; i < count; ++i) {
    streams.push_back({{i << 40 | i},
                       kNode,
                       i % 2 == 0 ? "v1" : "2026.12.07-b",
                       milliseconds(10 * i)});
  }
  return streams;
}

BOOST_AUTO_TEST_CASE(is_the_same_after_the_transfer_and_fits_into_a_datagram) {
  std::vector<StreamOrigin> received;
  for (const wire::StreamReport& report : EncodeStreams(MakeStreams(500))) {
    BOOST_TEST(report.ByteSizeLong() < kMaxDatagramBytes - 250);
    const auto streams = DecodeStreams(report).value();
    received.insert(received.end(), streams.begin(), streams.end());
  }
  BOOST_TEST((received == MakeStreams(500)));
}

BOOST_AUTO_TEST_CASE(with_many_versions_fits_into_a_datagram) {
  std::vector<StreamOrigin> streams = MakeStreams(100);
  for (StreamOrigin& stream : streams)
    stream.version = std::string(100, 'v') + std::to_string(stream.key.hash);
  size_t received = 0;
  for (const wire::StreamReport& report : EncodeStreams(streams)) {
    BOOST_TEST(report.ByteSizeLong() < kMaxDatagramBytes - 250);
    received += DecodeStreams(report).value().size();
  }
  BOOST_TEST(received == streams.size());
}

BOOST_AUTO_TEST_CASE(is_left_out_if_it_is_not_valid) {
  wire::StreamReport index = EncodeStreams(MakeStreams(4))[0];
  index.set_origins(1, 2);
  BOOST_TEST(!DecodeStreams(index).has_value());
  wire::StreamReport ages = EncodeStreams(MakeStreams(4))[0];
  ages.mutable_ages()->RemoveLast();
  BOOST_TEST(!DecodeStreams(ages).has_value());
}

// Each stream is in two consecutive batches.
BOOST_AUTO_TEST_CASE(that_is_lost_does_not_matter) {
  StreamOrigins sender;
  StreamOrigins receiver;
  for (int batch = 0; batch < 10; ++batch) {
    sender.Add({static_cast<uint64_t>(batch)}, kNode, "v1", At(seconds(batch)));
    const auto streams = sender.TakeToSend(kNode, 8, At(seconds(batch)));
    const bool is_lost = batch % 2 == 0;
    for (const wire::StreamReport& report : EncodeStreams(streams)) {
      const auto received = DecodeStreams(report).value();
      for (const StreamOrigin& stream : received) {
        if (!is_lost)
          receiver.OnReported(stream, At(seconds(batch)));
      }
    }
  }
  BOOST_TEST(receiver.size() == 10u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselthread::test
