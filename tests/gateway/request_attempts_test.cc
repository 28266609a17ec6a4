#include <boost/test/unit_test.hpp>

#include <random>

#include "libteaselthread/attempts/event_splitter.h"
#include "libteaselthread/attempts/request_attempts.h"

namespace teaselthread {
namespace {

constexpr bool kAllowed = true;

struct Attempt {
  AttemptFailure failure;
  bool sent;
};

NextStep Fail(RequestAttempts& attempts,
              const Attempt& attempt,
              bool bytes_relayed = false,
              bool can_resume = false,
              bool allowance = kAllowed) {
  attempts.OnStart("endpoint-" + std::to_string(attempts.tried().size()));
  if (attempt.sent)
    attempts.OnExposed();
  return attempts.OnFailure(attempt.failure, bytes_relayed, can_resume,
                            [&] { return allowance; });
}

BOOST_AUTO_TEST_SUITE(a_request_that_may_not_be_repeated)

BOOST_AUTO_TEST_CASE(goes_elsewhere_while_it_is_certain_not_to_have_run) {
  RequestAttempts attempts(false, 1);
  BOOST_TEST((Fail(attempts, {AttemptFailure::kUnreachable, false}) ==
              NextStep::kRetry));
  BOOST_TEST(
      (Fail(attempts, {AttemptFailure::kRejected, true}) == NextStep::kRetry));
  BOOST_TEST((Fail(attempts, {AttemptFailure::kMisdirected, true}) ==
              NextStep::kRetry));
  BOOST_TEST(!attempts.may_have_run());
}

BOOST_AUTO_TEST_CASE(ends_as_unknown_once_it_may_have_run) {
  for (const AttemptFailure failure :
       {AttemptFailure::kBroken, AttemptFailure::kMalformed,
        AttemptFailure::kSilent, AttemptFailure::kTimedOut}) {
    RequestAttempts attempts(false, 3);
    BOOST_TEST((Fail(attempts, {failure, true}) == NextStep::kGiveUp));
  }
}

BOOST_AUTO_TEST_CASE(gets_the_endpoints_own_failure) {
  RequestAttempts attempts(false, 1);
  BOOST_TEST((Fail(attempts, {AttemptFailure::kServerError, true}) ==
              NextStep::kPassOn));
}

BOOST_AUTO_TEST_CASE(is_refused_without_allowance_for_another_send) {
  RequestAttempts attempts(false, 1);
  BOOST_TEST((Fail(attempts, {AttemptFailure::kRejected, true}, false, false,
                   !kAllowed) == NextStep::kRefuse));
}

// Replays a crowded day on which the retry limit was used up and requests were
// refused because one endpoint could not be reached, which costs none a call.
BOOST_AUTO_TEST_CASE(needs_no_allowance_after_an_attempt_that_sent_nothing) {
  RequestAttempts attempts(false, 1);
  BOOST_TEST((Fail(attempts, {AttemptFailure::kUnreachable, false}, false,
                   false, !kAllowed) == NextStep::kRetry));
}

// 1,000 seeds of failures in any order: "not run" is never said of a request
// that may have run, and it is never sent again after that.
BOOST_AUTO_TEST_CASE(is_never_refused_after_it_may_have_run) {
  for (uint32_t seed = 0; seed < 1'000; ++seed) {
    std::mt19937 random(seed);
    RequestAttempts attempts(false, 1 + random() % 3);
    bool may_have_run = false;
    for (NextStep step = NextStep::kRetry; step == NextStep::kRetry;) {
      BOOST_REQUIRE(!may_have_run);
      const auto failure =
          static_cast<AttemptFailure>(random() % kAttemptFailureCount);
      const bool sent = !(failure == AttemptFailure::kUnreachable ||
                          failure == AttemptFailure::kStaleConnection) &&
                        random() % 4 != 0;
      may_have_run = sent && !ProvesNotRun(failure);
      step = Fail(attempts, {failure, sent}, false, false, random() % 2 == 0);
      if (step == NextStep::kRefuse)
        BOOST_REQUIRE(!may_have_run);
    }
    BOOST_REQUIRE(attempts.may_have_run() == may_have_run);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_that_may_be_repeated)

BOOST_AUTO_TEST_CASE(runs_on_no_more_endpoints_than_its_route_allows) {
  RequestAttempts attempts(true, 2);
  BOOST_TEST(
      (Fail(attempts, {AttemptFailure::kBroken, true}) == NextStep::kRetry));
  BOOST_TEST(
      (Fail(attempts, {AttemptFailure::kBroken, true}) == NextStep::kGiveUp));
}

BOOST_AUTO_TEST_CASE(goes_on_in_midstream_if_the_rest_can_be_asked_for) {
  RequestAttempts resumable(true, 2);
  BOOST_TEST((Fail(resumable, {AttemptFailure::kSilent, true}, true, true) ==
              NextStep::kRetry));
  RequestAttempts other(true, 2);
  BOOST_TEST((Fail(other, {AttemptFailure::kSilent, true}, true, false) ==
              NextStep::kGiveUp));
}

BOOST_AUTO_TEST_CASE(ends_when_time_is_over_or_nobody_waits) {
  RequestAttempts late(true, 2);
  BOOST_TEST(
      (Fail(late, {AttemptFailure::kTimedOut, true}) == NextStep::kGiveUp));
  RequestAttempts unsent(true, 2);
  BOOST_TEST(
      (Fail(unsent, {AttemptFailure::kTimedOut, false}) == NextStep::kRefuse));
  RequestAttempts gone(true, 2);
  BOOST_TEST(
      (Fail(gone, {AttemptFailure::kCallerGone, true}) == NextStep::kDrop));
}

BOOST_AUTO_TEST_CASE(is_not_offered_to_one_full_endpoint_after_the_other) {
  RequestAttempts attempts(true, 2);
  int sends = 1;
  while (Fail(attempts, {AttemptFailure::kRejected, true}) == NextStep::kRetry)
    ++sends;
  BOOST_TEST(sends == static_cast<int>(RequestAttempts::kMaxRejectedSends) + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_event_stream)

BOOST_AUTO_TEST_CASE(is_passed_on_in_whole_events) {
  EventSplitter events;
  BOOST_TEST(events.Feed("id: 1\ndata: a").empty());
  BOOST_TEST(events.has_partial_event());
  BOOST_TEST(events.Feed("b\n\nid: 2\nda") == "id: 1\ndata: ab\n\n");
  BOOST_TEST(events.Feed("ta: c\n\n") == "id: 2\ndata: c\n\n");
  BOOST_TEST(events.event_count() == 2u);
  BOOST_TEST(*events.last_id() == 2u);
}

BOOST_AUTO_TEST_CASE(goes_on_elsewhere_without_torn_or_doubled_events) {
  EventSplitter events;
  events.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  events.Restart();
  BOOST_TEST(events.Feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") ==
             "id: 3\ndata: c\n\n");
}

BOOST_AUTO_TEST_CASE(is_whole_however_its_bytes_are_cut) {
  std::string text;
  for (int i = 1; i <= 20; ++i) {
    text += "version: 3\nid: " + std::to_string(i) + "\ndata: piece " +
            std::string(static_cast<size_t>(i), 'x') + "\n\n";
  }
  for (uint32_t seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    EventSplitter events;
    std::string relayed;
    for (size_t start = 0; start < text.size();) {
      const size_t length = 1 + random() % 40;
      relayed += events.Feed(std::string_view(text).substr(start, length));
      start += length;
    }
    BOOST_REQUIRE(relayed == text);
    BOOST_REQUIRE(!events.has_partial_event());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
