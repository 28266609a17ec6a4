#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "crashes/crash_fleet.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::CrashFigures;
using test::CrashFleet;
using test::CrashLoad;

const auto kSeeds = boost::unit_test::data::xrange(1, 4);
const auto kGateways = boost::unit_test::data::make({1, 63, 124});
const auto kManyGateways = boost::unit_test::data::make({63, 124});
const auto kResetPercents = boost::unit_test::data::make({3, 10, 30});

CrashFigures Run(CrashLoad load, int gateways, int seed) {
  load.gateways = static_cast<size_t>(gateways);
  load.seed = static_cast<uint64_t>(seed);
  const CrashFigures figures = CrashFleet(load).Run(seconds(25));
  BOOST_TEST_MESSAGE("sound requests refused "
                     << figures.sound_refused << " of "
                     << figures.sound_requests << ", crashes by the part "
                     << figures.crashes << ", late contacts "
                     << figures.late_contacts);
  return figures;
}

int Confirmed(const CrashFigures& figures) {
  int confirmed = 0;
  for (size_t i = 0; i < kCrashVerdictCount; ++i) {
    if (IsConfirmed(static_cast<CrashVerdict>(i)))
      confirmed += figures.verdicts[i];
  }
  return confirmed;
}

void CheckNoneRefused(const CrashLoad& load, int gateways, int seed) {
  BOOST_TEST(Run(load, gateways, seed).sound_refused == 0);
}

// At most three requests with the part may reach engines
// later than 3 s after the fifth crash.
void CheckBlocked(CrashLoad load, int gateways, int seed) {
  load.tainted_share = 0.02;
  const CrashFigures figures = Run(load, gateways, seed);
  BOOST_TEST(figures.crashes >= 3);
  BOOST_TEST(figures.late_contacts <= 3);
  BOOST_TEST(figures.sound_refused == 0);
}

BOOST_AUTO_TEST_SUITE(sound_requests_are_not_refused)

// Regression test: 1,424 sound requests were refused as each lost response
// counted as a crash.
BOOST_DATA_TEST_CASE(when_responses_are_lost,
                     kSeeds* kGateways* kResetPercents,
                     seed,
                     gateways,
                     percent) {
  CrashLoad load;
  load.reset_share = percent / 100.0;
  const CrashFigures figures = Run(load, gateways, seed);
  BOOST_TEST(figures.sound_refused == 0);
  BOOST_TEST(Confirmed(figures) == 0);
}

BOOST_DATA_TEST_CASE(when_gateways_are_cut_off_from_engines,
                     kSeeds* kGateways,
                     seed,
                     gateways) {
  CrashLoad load;
  load.reset_share = 0.03;
  load.cut_from = seconds(5);
  load.cut_until = seconds(12);
  CheckNoneRefused(load, gateways, seed);
}

BOOST_DATA_TEST_CASE(when_engines_go_down_in_turn,
                     kSeeds* kGateways,
                     seed,
                     gateways) {
  CrashLoad load;
  load.reset_share = 0.03;
  load.flap_interval = milliseconds(700);
  CheckNoneRefused(load, gateways, seed);
}

BOOST_DATA_TEST_CASE(when_each_gateway_gets_few_and_engines_go_down,
                     kSeeds,
                     seed) {
  CrashLoad load;
  load.requests_per_second = 30;
  load.reset_share = 0.1;
  load.flap_interval = milliseconds(700);
  CheckNoneRefused(load, 124, seed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_part_that_crashes_engines_is_blocked)

BOOST_DATA_TEST_CASE(alone, kSeeds* kGateways, seed, gateways) {
  CheckBlocked({}, gateways, seed);
}

BOOST_DATA_TEST_CASE(beside_lost_responses,
                     kSeeds* kGateways* kResetPercents,
                     seed,
                     gateways,
                     percent) {
  CrashLoad load;
  load.reset_share = percent / 100.0;
  CheckBlocked(load, gateways, seed);
}

// Not with one gateway: it would reach four engines only, which then all crash
// before the third request in a row.
BOOST_DATA_TEST_CASE(while_gateways_are_cut_off_from_engines,
                     kSeeds* kManyGateways,
                     seed,
                     gateways) {
  CrashLoad load;
  load.cut_from = milliseconds(500);
  load.cut_until = seconds(10);
  CheckBlocked(load, gateways, seed);
}

BOOST_DATA_TEST_CASE(beside_engines_that_go_down_in_turn,
                     kSeeds* kGateways,
                     seed,
                     gateways) {
  CrashLoad load;
  load.flap_interval = milliseconds(2'000);
  CheckBlocked(load, gateways, seed);
}

// Each gateway sees less than one request with the part in the whole run, so it
// must block it by the others' evidence.
BOOST_DATA_TEST_CASE(at_gateways_that_get_few_requests, kSeeds, seed) {
  CrashLoad load;
  load.requests_per_second = 60;
  load.reset_share = 0.03;
  CheckBlocked(load, 124, seed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
