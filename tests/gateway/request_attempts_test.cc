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
    attempts.OnSendStarted();
  return attempts.OnFailure(attempt.failure, bytes_relayed, can_resume,
                            [&] { return allowance; });
}

BOOST_AUTO_TEST_SUITE(a_request_that_is_not_repeatable)

BOOST_AUTO_TEST_CASE(is_retried_while_it_is_proven_not_to_have_run) {
  RequestAttempts attempts(false, 1);
  BOOST_TEST((Fail(attempts, {AttemptFailure::kUnreachable, false}) ==
              NextStep::kRetry));
  BOOST_TEST(
      (Fail(attempts, {AttemptFailure::kRejected, true}) == NextStep::kRetry));
  BOOST_TEST((Fail(attempts, {AttemptFailure::kMisdirected, true}) ==
              NextStep::kRetry));
  BOOST_TEST(!attempts.may_have_run());
}

BOOST_AUTO_TEST_CASE(ends_with_unknown_outcome_once_it_may_have_run) {
  for (const AttemptFailure failure :
       {AttemptFailure::kBroken, AttemptFailure::kMalformed,
        AttemptFailure::kSilent, AttemptFailure::kTimedOut}) {
    RequestAttempts attempts(false, 3);
    BOOST_TEST((Fail(attempts, {failure, true}) == NextStep::kReportUnknown));
  }
}

BOOST_AUTO_TEST_CASE(relays_the_endpoints_error_response) {
  RequestAttempts attempts(false, 1);
  BOOST_TEST((Fail(attempts, {AttemptFailure::kServerError, true}) ==
              NextStep::kRelayError));
}

BOOST_AUTO_TEST_CASE(is_refused_if_no_retry_is_left) {
  RequestAttempts attempts(false, 1);
  BOOST_TEST((Fail(attempts, {AttemptFailure::kRejected, true}, false, false,
                   !kAllowed) == NextStep::kRefuse));
}

// Regression test: under high load the retry limit was used up, and requests
// were refused because one endpoint could not be reached, although such an
// attempt puts no load on any endpoint.
BOOST_AUTO_TEST_CASE(
    needs_no_retry_allowance_after_an_attempt_that_sent_nothing) {
  RequestAttempts attempts(false, 1);
  BOOST_TEST((Fail(attempts, {AttemptFailure::kUnreachable, false}, false,
                   false, !kAllowed) == NextStep::kRetry));
}

// Failures in random order, with 1,000 seeds: a request that may have run is
// never reported as not run and never sent again.
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

BOOST_AUTO_TEST_SUITE(a_repeatable_request)

BOOST_AUTO_TEST_CASE(runs_on_no_more_endpoints_than_its_route_allows) {
  RequestAttempts attempts(true, 2);
  BOOST_TEST(
      (Fail(attempts, {AttemptFailure::kBroken, true}) == NextStep::kRetry));
  BOOST_TEST((Fail(attempts, {AttemptFailure::kBroken, true}) ==
              NextStep::kReportUnknown));
}

BOOST_AUTO_TEST_CASE(
    resumes_a_partial_response_only_if_the_rest_can_be_requested) {
  RequestAttempts resumable(true, 2);
  BOOST_TEST((Fail(resumable, {AttemptFailure::kSilent, true}, true, true) ==
              NextStep::kRetry));
  RequestAttempts other(true, 2);
  BOOST_TEST((Fail(other, {AttemptFailure::kSilent, true}, true, false) ==
              NextStep::kReportUnknown));
}

BOOST_AUTO_TEST_CASE(ends_at_its_deadline_or_when_the_caller_disconnects) {
  RequestAttempts late(true, 2);
  BOOST_TEST((Fail(late, {AttemptFailure::kTimedOut, true}) ==
              NextStep::kReportUnknown));
  RequestAttempts unsent(true, 2);
  BOOST_TEST(
      (Fail(unsent, {AttemptFailure::kTimedOut, false}) == NextStep::kRefuse));
  RequestAttempts gone(true, 2);
  BOOST_TEST(
      (Fail(gone, {AttemptFailure::kCallerGone, true}) == NextStep::kDrop));
}

BOOST_AUTO_TEST_CASE(is_not_sent_to_one_full_endpoint_after_another) {
  RequestAttempts attempts(true, 2);
  int sends = 1;
  while (Fail(attempts, {AttemptFailure::kRejected, true}) == NextStep::kRetry)
    ++sends;
  BOOST_TEST(sends == static_cast<int>(RequestAttempts::kMaxRejectedSends) + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_event_stream)

BOOST_AUTO_TEST_CASE(is_relayed_in_complete_events) {
  EventSplitter events;
  BOOST_TEST(events.Feed("id: 1\ndata: a").empty());
  BOOST_TEST(events.has_partial_event());
  BOOST_TEST(events.Feed("b\n\nid: 2\nda") == "id: 1\ndata: ab\n\n");
  BOOST_TEST(events.Feed("ta: c\n\n") == "id: 2\ndata: c\n\n");
  BOOST_TEST(events.event_count() == 2u);
  BOOST_TEST(*events.last_id() == 2u);
}

BOOST_AUTO_TEST_CASE(resumes_elsewhere_without_partial_or_duplicate_events) {
  EventSplitter events;
  events.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  events.Restart();
  BOOST_TEST(events.Feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") ==
             "id: 3\ndata: c\n\n");
}

BOOST_AUTO_TEST_CASE(is_complete_however_its_bytes_are_split) {
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

BOOST_AUTO_TEST_CASE(does_not_count_comments_as_events) {
  EventSplitter events;
  BOOST_TEST(events.Feed(": ping\n\n") == ": ping\n\n");
  BOOST_TEST(events.event_count() == 0u);
  BOOST_TEST(events.Feed(": ping\ndata: a\n\n") == ": ping\ndata: a\n\n");
  BOOST_TEST(events.event_count() == 1u);
}

BOOST_AUTO_TEST_CASE(is_oversized_if_too_many_bytes_complete_no_new_event) {
  const std::string event = "id: 1\ndata: a\n\n";
  for (const std::string repeated : {"x", ": ping\n\n", event.c_str()}) {
    EventSplitter events;
    events.Feed(event);
    size_t fed = 0;
    while (fed <= EventSplitter::kMaxBytesPerEvent) {
      BOOST_REQUIRE(!events.is_oversized());
      events.Feed(repeated);
      fed += repeated.size();
    }
    BOOST_TEST(events.is_oversized());
  }
}

BOOST_AUTO_TEST_CASE(is_not_oversized_if_events_keep_coming) {
  EventSplitter events;
  for (int i = 0; i < 5; ++i) {
    events.Feed(
        "data: " + std::string(EventSplitter::kMaxBytesPerEvent / 2, 'x') +
        "\n\n");
    BOOST_TEST(!events.is_oversized());
  }
  BOOST_TEST(events.event_count() == 5u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
