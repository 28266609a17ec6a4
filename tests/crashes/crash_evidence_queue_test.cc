#include <boost/test/unit_test.hpp>

#include <optional>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/endpoints/crash_evidence_queue.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;

// An engine that has broken a connection at 1 s.
struct BrokenConnectionFixture {
  BrokenConnectionFixture() {
    record = test::MakeEngineRecord("engine-1", "a");
    endpoints.ReplaceAll({record}, At(seconds(0)));
    engine = endpoints.Running("pool").front();
    Break(seconds(1));
  }
  void Break(Duration time) {
    queue.Add({"id-1",
               {"system", "document"},
               engine,
               At(time - milliseconds(100)),
               At(time),
               record.started_at_ms + 1'000,
               {}});
  }
  std::optional<CrashVerdict> VerdictAt(Duration time) {
    const auto judged = queue.Judge(endpoints, At(time));
    if (judged.empty())
      return std::nullopt;
    return judged.front().verdict;
  }

  EndpointRecord record;
  EndpointTable endpoints;
  EndpointPtr engine;
  CrashEvidenceQueue queue;
};

BOOST_FIXTURE_TEST_SUITE(a_broken_connection, BrokenConnectionFixture)

BOOST_AUTO_TEST_SUITE(is_a_crash)

BOOST_AUTO_TEST_CASE(once_the_engine_refuses_a_connection) {
  engine->contact().refused_at = At(milliseconds(900));
  BOOST_TEST(!VerdictAt(milliseconds(1'100)).has_value());
  engine->contact().refused_at = At(milliseconds(1'100));
  BOOST_TEST((VerdictAt(milliseconds(1'110)) == CrashVerdict::kRefused));
  BOOST_TEST(queue.size() == 0u);
}

// An engine that crashed without closing its connections is known by its
// registration only.
BOOST_AUTO_TEST_CASE(once_a_later_incarnation_is_registered) {
  record.started_at_ms += 3'000;
  endpoints.Put(record, At(seconds(4)));
  BOOST_TEST((VerdictAt(seconds(4)) == CrashVerdict::kReplaced));
}

// The request was at the new incarnation already, and its response was lost.
BOOST_AUTO_TEST_CASE(but_not_once_one_is_that_started_before_the_break) {
  record.started_at_ms += 900;
  endpoints.Put(record, At(milliseconds(1'300)));
  BOOST_TEST(!VerdictAt(milliseconds(1'300)).has_value());
}

BOOST_AUTO_TEST_CASE(once_another_engine_is_registered_at_its_address) {
  record.id = "engine-2";
  record.started_at_ms += 3'000;
  endpoints.Put(record, At(seconds(4)));
  BOOST_TEST((VerdictAt(seconds(4)) == CrashVerdict::kReplaced));
}

BOOST_AUTO_TEST_CASE(once_another_instance_replies) {
  engine->contact().misdirected_at = At(seconds(4));
  BOOST_TEST((VerdictAt(seconds(4)) == CrashVerdict::kMisdirected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_no_crash)

BOOST_AUTO_TEST_CASE(once_the_engine_sends_bytes) {
  engine->contact().bytes_at = At(milliseconds(1'200));
  BOOST_TEST((VerdictAt(milliseconds(1'200)) == CrashVerdict::kBytesReceived));
}

BOOST_AUTO_TEST_CASE(once_the_engine_accepts_a_connection) {
  engine->contact().accepted_at = At(milliseconds(1'150));
  BOOST_TEST((VerdictAt(milliseconds(1'150)) == CrashVerdict::kAccepted));
}

BOOST_AUTO_TEST_CASE(if_the_engine_leaves) {
  endpoints.announcements().OnLeaving(record, At(milliseconds(1'050)));
  engine->contact().refused_at = At(milliseconds(1'100));
  BOOST_TEST((VerdictAt(milliseconds(1'110)) == CrashVerdict::kLeaving));
}

BOOST_AUTO_TEST_CASE(that_matters_once_all_its_parts_are_answered) {
  queue.OnAnswerBegun({"system"});
  BOOST_TEST(!VerdictAt(milliseconds(1'050)).has_value());
  queue.OnAnswerBegun({"document", "other"});
  BOOST_TEST((VerdictAt(milliseconds(1'060)) == CrashVerdict::kAnswered));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(stays_undecided)

// The listener's backlog and the sockets' buffers may outlive the engine.
BOOST_AUTO_TEST_CASE(by_what_is_received_right_after_the_break) {
  engine->contact().accepted_at = At(milliseconds(1'020));
  engine->contact().bytes_at = At(milliseconds(1'020));
  BOOST_TEST(!VerdictAt(milliseconds(1'100)).has_value());
}

// By then the engine may have restarted, and its registration may be late.
BOOST_AUTO_TEST_CASE(by_a_connection_that_is_accepted_seconds_later) {
  engine->contact().accepted_at = At(seconds(4));
  engine->contact().bytes_at = At(seconds(4));
  BOOST_TEST(!VerdictAt(seconds(4)).has_value());
}

// Partitions: nothing is learned of the engine.
BOOST_AUTO_TEST_CASE(until_it_expires_if_the_engine_does_not_respond) {
  BOOST_TEST(!VerdictAt(milliseconds(5'900)).has_value());
  BOOST_TEST((VerdictAt(seconds(6)) == CrashVerdict::kExpired));
}

BOOST_AUTO_TEST_CASE(within_a_bounded_number) {
  for (size_t i = 0; i < 2 * CrashEvidenceQueue::kMaxPending; ++i)
    Break(seconds(1));
  BOOST_TEST(queue.size() == CrashEvidenceQueue::kMaxPending);
  // Each is decided once.
  const size_t expired = CrashEvidenceQueue::kMaxPending + 1;
  BOOST_TEST(queue.Judge(endpoints, At(seconds(1))).size() == expired);
  BOOST_TEST(queue.Judge(endpoints, At(seconds(1))).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_probed)

BOOST_AUTO_TEST_CASE(once_it_has_settled_and_not_again_at_once) {
  BOOST_TEST(!queue.TakeProbe(*engine, At(milliseconds(1'050))));
  BOOST_TEST(queue.TakeProbe(*engine, At(milliseconds(1'100))));
  BOOST_TEST(!queue.TakeProbe(*engine, At(milliseconds(1'200))));
  BOOST_TEST(queue.TakeProbe(*engine, At(milliseconds(1'400))));
}

BOOST_AUTO_TEST_CASE(only_while_an_accepted_connection_proves_something) {
  BOOST_TEST(!queue.TakeProbe(*engine, At(milliseconds(2'500))));
  BOOST_TEST(queue.HasPending(*engine));
}

BOOST_AUTO_TEST_CASE(together_with_others_of_its_engine) {
  Break(milliseconds(1'010));
  BOOST_TEST(queue.TakeProbe(*engine, At(milliseconds(1'110))));
  BOOST_TEST(!queue.TakeProbe(*engine, At(milliseconds(1'120))));
  engine->contact().accepted_at = At(milliseconds(1'110));
  BOOST_TEST(queue.Judge(endpoints, At(milliseconds(1'120))).size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
