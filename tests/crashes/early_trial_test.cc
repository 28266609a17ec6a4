#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/endpoints/crash_suspects.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;

// A part that is blocked at 3 s.
struct BlockedPartFixture {
  BlockedPartFixture() {
    for (uint32_t crash = 1; crash <= 3; ++crash)
      Crash(crash, seconds(crash));
  }
  void Crash(uint32_t crash, Duration time) {
    suspects.OnCrash({"part"}, crash, At(time - milliseconds(100)), At(time));
  }
  bool IsBlocked(Duration time) const {
    return suspects.FindBlocked({"part"}, At(time)).has_value();
  }
  bool TakesTrial(Duration time, size_t rank = 0) {
    return suspects.TakeEarlyTrial({"part"}, rank, At(time));
  }
  // Another node that knows the same.
  CrashSuspects OtherNode(Duration time) const {
    CrashSuspects other;
    for (const CrashEvidence& item : suspects.ToShare(700, At(time)))
      other.Merge(item, At(time));
    return other;
  }

  CrashSuspects suspects;
};

BOOST_FIXTURE_TEST_SUITE(the_early_trial_of_a_blocked_part, BlockedPartFixture)

// A part that was blocked wrongly must not stay so for 30 s.
BOOST_AUTO_TEST_CASE(is_due_a_second_after_blocking) {
  BOOST_TEST(!TakesTrial(milliseconds(3'900)));
  BOOST_TEST(TakesTrial(seconds(4)));
  BOOST_TEST(!TakesTrial(seconds(5)));
}

BOOST_AUTO_TEST_CASE(unblocks_the_part_everywhere_if_it_is_answered) {
  CrashSuspects other = OtherNode(seconds(4));
  BOOST_REQUIRE(other.FindBlocked({"part"}, At(seconds(4))).has_value());
  BOOST_REQUIRE(TakesTrial(seconds(4)));
  suspects.TakeUrgent();
  suspects.OnAnswerBegun({"part"}, At(milliseconds(4'200)));
  BOOST_TEST(suspects.TakeUrgent());
  for (const CrashEvidence& item :
       suspects.ToShare(700, At(milliseconds(4'300))))
    other.Merge(item, At(milliseconds(4'300)));
  BOOST_TEST(!other.FindBlocked({"part"}, At(milliseconds(4'300))).has_value());
}

// Otherwise all gateways would send one.
BOOST_AUTO_TEST_CASE(is_sent_by_one_node) {
  BOOST_REQUIRE(TakesTrial(seconds(4)));
  BOOST_TEST(suspects.TakeUrgent());
  CrashSuspects other = OtherNode(milliseconds(4'200));
  BOOST_TEST(!other.TakeEarlyTrial({"part"}, 0, At(seconds(6))));
  BOOST_TEST(!other.TakeEarlyTrial({"part"}, 3, At(seconds(10))));
}

// The first nodes may have no request with the part.
BOOST_AUTO_TEST_CASE(passes_on_to_more_and_more_nodes) {
  BOOST_TEST(!TakesTrial(milliseconds(4'200), 1));
  BOOST_TEST(!TakesTrial(milliseconds(6'700), 123));
  BOOST_TEST(TakesTrial(milliseconds(6'800), 123));
}

BOOST_AUTO_TEST_CASE(is_repeated_if_its_response_is_lost) {
  BOOST_REQUIRE(TakesTrial(seconds(4)));
  BOOST_TEST(!TakesTrial(milliseconds(6'900)));
  BOOST_TEST(TakesTrial(seconds(7)));
}

BOOST_AUTO_TEST_CASE(is_not_repeated_if_it_crashes_an_engine) {
  BOOST_REQUIRE(TakesTrial(seconds(4)));
  Crash(4, milliseconds(4'200));
  BOOST_TEST(!TakesTrial(seconds(20)));
  BOOST_TEST(!suspects.TakeTrial("part", true, At(seconds(20))));
}

BOOST_AUTO_TEST_CASE(is_not_sent_once_five_crashes_are_known) {
  Crash(4, milliseconds(3'300));
  Crash(5, milliseconds(3'600));
  BOOST_TEST(!TakesTrial(seconds(20)));
}

BOOST_AUTO_TEST_CASE(is_sent_again_if_the_part_is_blocked_again) {
  BOOST_REQUIRE(TakesTrial(seconds(4)));
  suspects.OnAnswerBegun({"part"}, At(milliseconds(4'200)));
  for (uint32_t crash = 4; crash <= 6; ++crash)
    Crash(crash, seconds(crash + 1));
  BOOST_TEST(TakesTrial(seconds(8)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(the_number_of_crashes_that_blocks, BlockedPartFixture)

BOOST_AUTO_TEST_CASE(is_three_if_engines_hardly_crash_without_the_part) {
  BOOST_TEST(IsBlocked(seconds(4)));
}

struct OtherCrashesFixture : BlockedPartFixture {
  // Engines crash with other parts only, and then three times with "late".
  void CrashOthersThenLate(uint32_t others) {
    for (uint32_t i = 0; i < others; ++i)
      suspects.OnCrash({"other"}, 100 + i, At(seconds(10 + i)),
                       At(seconds(10 + i) + milliseconds(500)));
    for (uint32_t i = 0; i < 3; ++i)
      CrashLate(i);
  }
  void CrashLate(uint32_t i) {
    suspects.OnCrash({"late"}, 200 + i, At(seconds(20 + 2 * i)),
                     At(seconds(20 + 2 * i) + milliseconds(500)));
  }
  bool IsLateBlocked() const {
    return suspects.FindBlocked({"late"}, At(seconds(40))).has_value();
  }
};

BOOST_FIXTURE_TEST_CASE(is_four_if_some_do, OtherCrashesFixture) {
  CrashOthersThenLate(1);
  BOOST_TEST(!IsLateBlocked());
  CrashLate(3);
  BOOST_TEST(IsLateBlocked());
}

BOOST_FIXTURE_TEST_CASE(is_five_at_most, OtherCrashesFixture) {
  CrashOthersThenLate(9);
  CrashLate(3);
  BOOST_TEST(!IsLateBlocked());
  CrashLate(4);
  BOOST_TEST(IsLateBlocked());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(crashes_in_a_row_at_several_nodes)

// Regression test: a crash counted as in a row only if the request was sent
// after the evidence of the crash before had arrived, so that every other crash
// was lost at 124 gateways.
BOOST_AUTO_TEST_CASE(are_ordered_by_when_they_happened) {
  CrashSuspects first;
  CrashSuspects second;
  first.OnCrash({"part"}, 1, At(milliseconds(900)), At(seconds(1)));
  for (const CrashEvidence& item : first.ToShare(700, At(milliseconds(1'200))))
    second.Merge(item, At(milliseconds(1'200)));
  second.OnCrash({"part"}, 2, At(milliseconds(1'100)), At(milliseconds(1'300)));
  BOOST_TEST(second.open_crashes("part") == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
