#include "libteaselthread/rollouts/rollout_evidence.h"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"

namespace teaselthread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kRoute = 7;

RolloutReport MakeReport(const std::string& sender,
                         uint32_t start,
                         uint64_t sequence,
                         uint32_t responses) {
  RolloutReport report;
  report.has_counters = true;
  report.sender = sender;
  report.start = start;
  report.sequence = sequence;
  report.counters.routes[kRoute].target = {responses, 0, responses, 0};
  return report;
}

RolloutReport MakeZoneReport(const std::string& zone, uint32_t responses) {
  RolloutReport report = MakeReport("node-9", 1, 1, responses);
  report.zone = zone;
  report.is_complete = true;
  return report;
}

uint32_t Responses(const RolloutEvidence& evidence) {
  return evidence.FleetCounters().Total().target.responses;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rollout_evidence)

BOOST_AUTO_TEST_CASE(counts_each_response_once_whatever_happens_to_reports) {
  RolloutEvidence evidence;
  evidence.OnReport(MakeReport("node-1", 1, 2, 20), At(seconds(0)));
  evidence.OnReport(MakeReport("node-1", 1, 1, 10), At(seconds(1)));  // late
  evidence.OnReport(MakeReport("node-1", 1, 2, 20), At(seconds(1)));
  evidence.OnReport(MakeReport("node-2", 1, 1, 5), At(seconds(1)));
  BOOST_TEST(Responses(evidence) == 25u);
}

BOOST_AUTO_TEST_CASE(keeps_what_a_node_counted_before_it_started_anew) {
  RolloutEvidence evidence;
  evidence.OnReport(MakeReport("node-1", 1, 9, 20), At(seconds(0)));
  evidence.OnReport(MakeReport("node-1", 2, 1, 3), At(seconds(1)));
  BOOST_TEST(Responses(evidence) == 23u);
}

BOOST_AUTO_TEST_CASE(adds_the_other_zones_once) {
  RolloutEvidence evidence;
  evidence.own().routes[kRoute].target.responses = 1;
  evidence.OnReport(MakeZoneReport("b", 30), At(seconds(0)));
  evidence.OnReport(MakeZoneReport("b", 30), At(seconds(0)));
  evidence.OnReport(MakeZoneReport("c", 40), At(seconds(0)));
  BOOST_TEST(Responses(evidence) == 71u);
  BOOST_TEST(evidence.ZoneCounters().Total().target.responses == 1u);
}

// A zone leader that has just started knows less than its predecessor did.
BOOST_AUTO_TEST_CASE(keeps_the_counters_of_a_better_informed_leader) {
  RolloutEvidence evidence;
  evidence.OnReport(MakeZoneReport("b", 30), At(seconds(0)));
  RolloutReport report = MakeZoneReport("b", 10);
  report.sender = "node-8";
  evidence.OnReport(report, At(seconds(1)));
  BOOST_TEST(Responses(evidence) == 30u);
}

BOOST_AUTO_TEST_CASE(is_complete_only_with_recent_reports_of_all_live_nodes) {
  RolloutEvidence evidence;
  const RolloutFleet fleet{"a", {"node-1", "node-2"}, {"b"}, 4, true};
  evidence.OnReport(MakeReport("node-1", 1, 1, 1), At(seconds(0)));
  evidence.OnReport(MakeZoneReport("b", 1), At(seconds(0)));
  BOOST_TEST(!evidence.FleetCoverage(fleet, At(seconds(1))).is_complete);
  evidence.OnReport(MakeReport("node-2", 1, 1, 1), At(seconds(1)));
  BOOST_TEST(evidence.FleetCoverage(fleet, At(seconds(2))).is_complete);
  BOOST_TEST(
      !evidence.FleetCoverage(fleet, At(milliseconds(2'001))).is_complete);
}

// A repeated datagram says nothing about the present.
BOOST_AUTO_TEST_CASE(is_not_made_recent_by_a_late_copy) {
  RolloutEvidence evidence;
  const RolloutFleet fleet{"a", {"node-1"}, {}, 2, true};
  const RolloutReport report = MakeReport("node-1", 1, 1, 1);
  evidence.OnReport(report, At(seconds(0)));
  evidence.OnReport(report, At(seconds(3)));
  BOOST_TEST(!evidence.FleetCoverage(fleet, At(seconds(3))).is_complete);
}

BOOST_AUTO_TEST_CASE(is_as_old_as_the_oldest_part_of_a_zone) {
  RolloutEvidence evidence;
  const RolloutFleet fleet{"a", {}, {"b"}, 2, true};
  RolloutReport report = MakeZoneReport("b", 1);
  report.age = seconds(1);
  evidence.OnReport(report, At(seconds(5)));
  BOOST_TEST(evidence.FleetCoverage(fleet, At(seconds(6))).is_complete);
  BOOST_TEST(
      !evidence.FleetCoverage(fleet, At(milliseconds(6'001))).is_complete);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselthread::test
