#include <boost/test/unit_test.hpp>

#include <vector>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/endpoints/crash_suspects.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using test::At;

using Parts = std::vector<std::string>;
const Parts kTainted = {"system", "tainted"};
const Parts kSound = {"system", "sound"};

struct CrashSuspectsFixture {
  // A request with these parts is sent at `time` and crashes an engine 100 ms
  // later.
  void Crash(const Parts& parts, uint32_t engine, Duration time) {
    suspects.OnCrash(parts, engine, At(time), At(time + milliseconds(100)));
  }
  // Three engines crash one after the other from 1 s on, and sound requests are
  // answered meanwhile.
  void CrashThreeInARow() {
    for (uint32_t engine = 1; engine <= 3; ++engine) {
      Crash(kTainted, engine, seconds(engine));
      suspects.OnAnswerBegun(kSound, At(seconds(engine) + milliseconds(200)));
    }
  }
  bool IsBlocked(const std::string& part, Duration time) const {
    return suspects.FindBlocked({part}, At(time)).has_value();
  }

  CrashSuspects suspects;
};

BOOST_FIXTURE_TEST_SUITE(a_part_that_crashes_engines, CrashSuspectsFixture)

// Regression test: requests with one part crashed 25 to 35 engines in 22 s.
BOOST_AUTO_TEST_CASE(is_blocked_after_three_in_a_row) {
  Crash(kTainted, 1, seconds(1));
  Crash(kTainted, 2, seconds(2));
  BOOST_TEST(!suspects.FindBlocked(kTainted, At(seconds(3))).has_value());
  Crash(kTainted, 3, seconds(3));
  BOOST_TEST(suspects.FindBlocked(kTainted, At(seconds(4))).has_value());
}

BOOST_AUTO_TEST_CASE(does_not_implicate_the_other_parts_of_its_requests) {
  CrashThreeInARow();
  BOOST_TEST(IsBlocked("tainted", seconds(4)));
  BOOST_TEST(!IsBlocked("system", seconds(4)));
  BOOST_TEST(!suspects.FindBlocked(kSound, At(seconds(4))).has_value());
}

// Regression test: all requests with the deadly part had the same first parts,
// which no other request cleared in time. 33 of 81 sound requests with the
// first of them were served.
BOOST_AUTO_TEST_CASE(is_told_from_parts_that_always_stand_beside_it) {
  const Parts tainted = {"rare-system", "document", "tainted"};
  for (uint32_t engine = 1; engine <= 3; ++engine)
    Crash(tainted, engine, seconds(engine));
  const auto is_blocked = [&](const Parts& parts) {
    return suspects.FindBlocked(parts, At(seconds(5))).has_value();
  };
  BOOST_TEST(is_blocked(tainted));
  BOOST_TEST(!is_blocked({"rare-system", "other"}));
  BOOST_TEST(!is_blocked({"rare-system", "document"}));
  suspects.OnAnswerBegun({"rare-system", "document"}, At(seconds(5)));
  BOOST_TEST(is_blocked({"tainted"}));
  BOOST_TEST(is_blocked({"other-system", "tainted"}));
}

BOOST_AUTO_TEST_CASE(is_blocked_alone_once_it_crashes_engines_without_them) {
  const Parts together = {"tainted", "document"};
  for (uint32_t engine = 1; engine <= 3; ++engine)
    Crash(together, engine, seconds(engine));
  BOOST_TEST(!IsBlocked("tainted", seconds(5)));
  Crash({"tainted", "second"}, 4, seconds(5));
  Crash({"tainted", "third"}, 5, seconds(6));
  BOOST_TEST(IsBlocked("tainted", seconds(7)));
  BOOST_TEST(!IsBlocked("document", seconds(7)));
}

BOOST_AUTO_TEST_CASE(is_tried_again_by_one_node_after_a_while) {
  CrashThreeInARow();
  const Duration last_crash = milliseconds(3'100);
  BOOST_TEST(!suspects.TakeTrial("tainted", true, At(seconds(20))));
  BOOST_TEST(!suspects.TakeTrial("tainted", false, At(minutes(2))));
  BOOST_TEST(suspects.TakeTrial("tainted", true, At(last_crash + seconds(30))));
  BOOST_TEST(
      !suspects.TakeTrial("tainted", true, At(last_crash + seconds(31))));
}

BOOST_AUTO_TEST_CASE(is_tried_less_often_after_a_failed_trial) {
  CrashThreeInARow();
  Crash(kTainted, 4, seconds(40));
  BOOST_TEST(!suspects.TakeTrial("tainted", true, At(seconds(80))));
  BOOST_TEST(suspects.TakeTrial("tainted", true, At(seconds(101))));
}

BOOST_AUTO_TEST_CASE(is_let_through_once_a_trial_is_answered) {
  CrashThreeInARow();
  suspects.OnAnswerBegun(kTainted, At(seconds(40)));
  BOOST_TEST(!IsBlocked("tainted", seconds(41)));
  // Earlier crashes do not count any more.
  Crash(kTainted, 4, seconds(42));
  Crash(kTainted, 5, seconds(43));
  BOOST_TEST(!IsBlocked("tainted", seconds(50)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_sound_part_at_crashing_engines, CrashSuspectsFixture)

BOOST_AUTO_TEST_CASE(is_not_blocked_if_many_engines_crash_at_once) {
  for (uint32_t engine = 1; engine <= 9; ++engine)
    suspects.OnCrash(kSound, engine, At(milliseconds(900 + engine)),
                     At(seconds(1)));
  BOOST_TEST(suspects.open_crashes("sound") == 1u);
  BOOST_TEST(!IsBlocked("sound", seconds(5)));
}

BOOST_AUTO_TEST_CASE(is_not_blocked_before_other_nodes_could_clear_it) {
  for (uint32_t engine = 1; engine <= 3; ++engine)
    Crash(kSound, engine, milliseconds(1'000 + 150 * engine));
  BOOST_TEST(suspects.open_crashes("sound") == 3u);
  BOOST_TEST(!IsBlocked("sound", milliseconds(1'700)));
}

BOOST_AUTO_TEST_CASE(is_cleared_by_an_answer) {
  Crash(kSound, 1, seconds(1));
  Crash(kSound, 2, seconds(2));
  suspects.OnAnswerBegun(kSound, At(seconds(3)));
  Crash(kSound, 3, seconds(4));
  BOOST_TEST(suspects.open_crashes("sound") == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(evidence_of_crashes)

struct NodesFixture {
  void Exchange(Duration time) {
    for (const CrashSuspects& from : nodes) {
      for (const CrashEvidence& item : from.ToShare(700, At(time))) {
        for (CrashSuspects& to : nodes)
          to.Merge(item, At(time));
      }
    }
  }

  std::vector<CrashSuspects> nodes = std::vector<CrashSuspects>(9);
};

BOOST_FIXTURE_TEST_CASE(of_several_nodes_adds_up, NodesFixture) {
  for (uint32_t i = 0; i < 3; ++i) {
    nodes[i].OnCrash(kTainted, i, At(seconds(1 + i)),
                     At(seconds(1 + i) + milliseconds(100)));
    Exchange(seconds(1 + i) + milliseconds(300));
  }
  for (const CrashSuspects& node : nodes)
    BOOST_TEST(node.FindBlocked(kTainted, At(seconds(4))).has_value());
}

BOOST_FIXTURE_TEST_CASE(is_cleared_on_all_nodes_and_does_not_return,
                        NodesFixture) {
  nodes[0].OnCrash(kSound, 1, At(seconds(1)), At(seconds(2)));
  nodes[1].OnCrash(kSound, 2, At(seconds(1)), At(seconds(2)));
  const std::vector<CrashEvidence> old = nodes[0].ToShare(700, At(seconds(2)));
  Exchange(seconds(3));
  nodes[5].OnAnswerBegun(kSound, At(seconds(4)));
  Exchange(seconds(5));
  for (CrashSuspects& node : nodes) {
    BOOST_TEST(node.open_crashes("sound") == 0u);
    for (const CrashEvidence& item : old)
      BOOST_TEST(!node.Merge(item, At(seconds(6))));
    BOOST_TEST(node.open_crashes("sound") == 0u);
  }
}

BOOST_FIXTURE_TEST_CASE(reaches_a_node_that_starts_later, NodesFixture) {
  for (uint32_t i = 0; i < 3; ++i)
    nodes[0].OnCrash(kTainted, i, At(seconds(1 + i)),
                     At(seconds(1 + i) + milliseconds(100)));
  // Blocked parts are shared for as long as they are blocked.
  const auto evidence = nodes[0].ToShare(700, At(minutes(10)));
  BOOST_REQUIRE(evidence.size() == 2u);
  CrashSuspects late;
  for (const CrashEvidence& item : evidence)
    late.Merge(item, At(minutes(10)));
  BOOST_TEST(
      late.FindBlocked(kTainted, At(minutes(10) + seconds(1))).has_value());
}

// Regression test: a heartbeat with 20 parts of many crashes was longer than a
// datagram.
BOOST_FIXTURE_TEST_CASE(fits_into_a_datagram, CrashSuspectsFixture) {
  for (int part = 0; part < 50; ++part) {
    for (uint32_t engine = 0; engine < 30; ++engine)
      Crash({"part-" + std::to_string(part)}, engine, seconds(engine));
  }
  const auto evidence = suspects.ToShare(700, At(seconds(31)));
  size_t bytes = 0;
  for (const CrashEvidence& item : evidence)
    bytes += item.ByteSize();
  BOOST_TEST(!evidence.empty());
  BOOST_TEST(bytes <= 700u);
}

BOOST_FIXTURE_TEST_CASE(of_a_part_that_was_often_cleared_still_counts,
                        CrashSuspectsFixture) {
  for (uint32_t engine = 1; engine <= 100; ++engine) {
    Crash(kSound, engine, seconds(10 * engine));
    suspects.OnAnswerBegun(kSound, At(seconds(10 * engine + 1)));
  }
  for (uint32_t engine = 101; engine <= 103; ++engine)
    Crash(kSound, engine, seconds(10 * engine));
  BOOST_TEST(suspects.FindBlocked(kSound, At(seconds(1'100))).has_value());
}

BOOST_FIXTURE_TEST_CASE(is_bounded_however_many_parts_callers_invent,
                        CrashSuspectsFixture) {
  CrashThreeInARow();
  for (int i = 0; i < 5'000; ++i)
    suspects.OnCrash({"invented-" + std::to_string(i)}, 7, At(seconds(5)),
                     At(seconds(6)));
  suspects.OnCrash({std::string(10'000, 'x')}, 8, At(seconds(5)),
                   At(seconds(6)));
  BOOST_TEST(suspects.size() <= 1'024u);
  BOOST_TEST(IsBlocked("tainted", seconds(7)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
