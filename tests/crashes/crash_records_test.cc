#include <boost/test/unit_test.hpp>

#include <memory>

#include "gateway/gateway_harness.h"
#include "heartbeat.pb.h"
#include "streams/record_store.h"
#include "teaselthread/gateway/heartbeat_conversion.h"
#include "teaselthread/store/crash_record.h"
#include "teaselthread/store/fleet_records.h"

namespace teaselthread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// No text: callers choose the bytes.
const std::string kBadPart = "bad1\xff";
constexpr uint64_t kTwoHoursMs = 7'200'000;
const std::string kOtherZonesRecord = "crashes-b";
const std::string kRecord = "crashes-a";

// One gateway process, the only one of its zone.
struct Process {
  explicit Process(uint16_t store_port)
      : state(&io, MakeSettings(store_port), &codec), records(&state) {
    records.Start();
  }

  asio::io_context io;
  platform::PlatformCodec codec;
  GatewayState state;
  FleetRecords records;
};

struct CrashRecordsFixture {
  CrashRecordsFixture()
      : store(&io, StoreKind::kFleet), process(MakeProcess()) {}

  std::unique_ptr<Process> MakeProcess() {
    return std::make_unique<Process>(store.port());
  }
  // All gateways are killed and start again.
  void Restart() { process = MakeProcess(); }
  void Crash(const std::string& part, uint32_t engine, Duration ago) {
    const Timestamp at = process->state.Now() - ago;
    process->state.crash_suspects().OnCrash({part}, engine,
                                            at - milliseconds(100), at);
  }
  void CrashFive() {
    for (uint32_t engine = 1; engine <= 5; ++engine)
      Crash(kBadPart, engine, seconds(20 - engine));
  }
  void Answer(const std::string& part) {
    process->state.crash_suspects().OnAnswerBegun({part}, process->state.Now());
  }
  bool IsBlocked() {
    return process->state.crash_suspects()
        .FindBlocked({kBadPart}, process->state.Now())
        .has_value();
  }
  // Empty if there is none.
  CrashRecord RecordOf(const std::string& name) {
    const auto found = store.objects.find(name);
    return found == store.objects.end()
               ? CrashRecord{}
               : DecodeCrashRecord(found->second.content).value();
  }
  bool RunUntil(const std::function<bool()>& done, Duration limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done()) {
      if (std::chrono::steady_clock::now() > end)
        return false;
      io.run_for(milliseconds(1));
      process->io.poll();
    }
    return true;
  }
  bool IsSoonRecorded() {
    return RunUntil([this] { return RecordOf(kRecord).parts.size() == 1; },
                    seconds(2));
  }

  asio::io_context io;
  RecordStore store;
  std::unique_ptr<Process> process;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(evidence_on_a_part_that_crashes_engines,
                         CrashRecordsFixture)

// Guards against a part that crashes four or five engines more each time that
// all gateways were killed.
BOOST_AUTO_TEST_CASE(outlives_all_gateways) {
  CrashFive();
  BOOST_TEST(IsSoonRecorded());
  Restart();
  BOOST_TEST(!IsBlocked());
  BOOST_TEST(RunUntil([this] { return IsBlocked(); }, milliseconds(300)));
  const CrashSuspects& suspects = process->state.crash_suspects();
  BOOST_TEST(suspects.open_crashes(kBadPart) == 5u);
}

BOOST_AUTO_TEST_CASE(is_recorded_before_it_blocks_the_part) {
  Crash(kBadPart, 1, seconds(9));
  Crash(kBadPart, 2, seconds(5));
  BOOST_TEST(IsSoonRecorded());
}

BOOST_AUTO_TEST_CASE(is_not_recorded_of_parts_that_engines_answer) {
  for (const char* part : {"system", "document"}) {
    Crash(part, 1, seconds(9));
    Crash(part, 2, seconds(5));
    Answer(part);
  }
  Crash("rare", 1, seconds(9));
  RunUntil([] { return false; }, milliseconds(1'500));
  BOOST_TEST(store.writes == 0);
}

BOOST_AUTO_TEST_CASE(is_cleared_by_an_answer_whatever_older_records_say) {
  CrashFive();
  BOOST_TEST(IsSoonRecorded());
  store.objects[kOtherZonesRecord] = store.objects[kRecord];
  const CrashRecord before = RecordOf(kRecord);
  Answer(kBadPart);
  BOOST_TEST(RunUntil([&] { return RecordOf(kRecord) != before; }, seconds(3)));
  Restart();
  const auto knows_it = [this] {
    return process->state.crash_suspects().size() > 0;
  };
  BOOST_TEST(RunUntil(knows_it, seconds(1)));
  BOOST_TEST(!IsBlocked());
}

// The usual trial shows whether the part still crashes engines.
BOOST_AUTO_TEST_CASE(ends_by_a_trial_after_a_restart) {
  CrashFive();
  BOOST_TEST(IsSoonRecorded());
  Restart();
  RunUntil([this] { return IsBlocked(); }, seconds(1));
  CrashSuspects& suspects = process->state.crash_suspects();
  const Timestamp now = process->state.Now();
  BOOST_TEST(!suspects.TakeEarlyTrial({kBadPart}, 0, now));
  BOOST_TEST(!suspects.TakeTrial(kBadPart, true, now));
  BOOST_TEST(suspects.TakeTrial(kBadPart, true, now + minutes(3)));
}

BOOST_AUTO_TEST_CASE(is_recorded_again_if_the_store_was_restored) {
  store.Copy();
  CrashFive();
  BOOST_TEST(IsSoonRecorded());
  store.Restore();
  process->state.OnStoreEpoch(2);
  BOOST_TEST(IsSoonRecorded());
}

BOOST_AUTO_TEST_CASE(is_left_out_if_it_is_old_or_unreadable) {
  CrashFive();
  BOOST_TEST(IsSoonRecorded());
  CrashRecord old = RecordOf(kRecord);
  old.written_at_ms -= kTwoHoursMs;
  store.objects[kRecord].content = EncodeCrashRecord(old);
  store.objects[kOtherZonesRecord].content = "text";
  Restart();
  RunUntil([] { return false; }, milliseconds(300));
  BOOST_TEST(!IsBlocked());
}

// Guards against a part that makes the heartbeats that name it unreadable.
BOOST_AUTO_TEST_CASE(is_the_same_after_a_heartbeat) {
  const CrashEvidence evidence{kBadPart, {1, 2}, {1}, {3}, {2}, seconds(4)};
  wire::GatewayHeartbeat sent;
  EncodeEvidence(evidence, sent.add_suspects());
  wire::GatewayHeartbeat received;
  BOOST_REQUIRE(received.ParseFromString(sent.SerializeAsString()));
  BOOST_TEST((DecodeEvidence(received.suspects(0)) == evidence));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselthread::test
