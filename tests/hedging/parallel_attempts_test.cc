#include <boost/test/unit_test.hpp>

#include "libteaselthread/attempts/request_attempts.h"

namespace teaselthread {
namespace {

struct ParallelFixture {
  ParallelFixture() {
    attempts.OnStart("first");
    attempts.OnSendStarted();
  }
  void SendHedge() {
    attempts.OnStart("hedge", AttemptRole::kHedge);
    attempts.OnSendStarted(AttemptRole::kHedge);
  }
  NextStep FailLast(AttemptFailure failure, AttemptRole role) {
    return attempts.OnFailure(
        failure, false, false, [] { return true; }, role);
  }

  RequestAttempts attempts{true, 3};
};

BOOST_FIXTURE_TEST_SUITE(two_parallel_attempts, ParallelFixture)

BOOST_AUTO_TEST_CASE(are_possible_if_two_more_endpoints_may_run_the_request) {
  BOOST_TEST(attempts.MayHedge());
  BOOST_TEST(!RequestAttempts(true, 1).MayHedge());
  BOOST_TEST(!RequestAttempts(false, 3).MayHedge());
  FailLast(AttemptFailure::kBroken, AttemptRole::kFirst);
  BOOST_TEST(attempts.MayHedge());
  attempts.OnStart("second");
  attempts.OnSendStarted();
  FailLast(AttemptFailure::kBroken, AttemptRole::kFirst);
  BOOST_TEST(!attempts.MayHedge());
}

// Guards against more than max_attempts endpoints that run the request.
BOOST_AUTO_TEST_CASE(both_count_as_attempts_if_they_fail) {
  SendHedge();
  BOOST_TEST(attempts.sends() == 2u);
  attempts.OnParallelFailure(AttemptFailure::kBroken, AttemptRole::kFirst);
  BOOST_TEST((FailLast(AttemptFailure::kBroken, AttemptRole::kHedge) ==
              NextStep::kRetry));
  attempts.OnStart("third");
  attempts.OnSendStarted();
  BOOST_TEST((FailLast(AttemptFailure::kBroken, AttemptRole::kFirst) ==
              NextStep::kReportUnknown));
}

// Guards against the report that a request has not run although the other
// attempt may have run it.
BOOST_AUTO_TEST_CASE(may_have_run_if_one_of_them_may) {
  SendHedge();
  attempts.OnParallelFailure(AttemptFailure::kBroken, AttemptRole::kHedge);
  BOOST_TEST(attempts.may_have_run());
  BOOST_TEST((attempts.OnFailure(AttemptFailure::kRejected, false, false, [] {
    return false;
  }) == NextStep::kReportUnknown));
}

// Guards against a state that the attempts share: the hedge has sent nothing.
BOOST_AUTO_TEST_CASE(have_sent_the_request_independently) {
  attempts.OnStart("hedge", AttemptRole::kHedge);
  attempts.OnParallelFailure(AttemptFailure::kBroken, AttemptRole::kHedge);
  BOOST_TEST(!attempts.may_have_run());
  BOOST_TEST((FailLast(AttemptFailure::kBroken, AttemptRole::kFirst) ==
              NextStep::kRetry));
  BOOST_TEST(attempts.may_have_run());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
