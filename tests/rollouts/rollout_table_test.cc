#include "libteaselthread/rollouts/rollout_table.h"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"

namespace teaselthread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = ResponseOutcome::Kind;

constexpr uint32_t kRoute = 7;
const RolloutFleet kAlone{"a", {}, {}, 1, true};

// One node with endpoints "old" and "new" of the services "desk" and "pool".
struct Table {
  Table() {
    std::vector<EndpointRecord> records;
    for (const std::string service : {"desk", "pool"}) {
      for (const std::string version : {"v1", "v2", "v3"}) {
        EndpointRecord record = MakeDeskRecord(service + "-" + version, "a");
        record.service = service;
        record.version = version;
        records.push_back(record);
      }
    }
    endpoints.ReplaceAll(records, At(seconds(0)));
  }
  void Put(const std::string& service,
           const std::string& target,
           uint64_t revision,
           std::optional<RolloutStatus> status = std::nullopt) {
    table.Put(
        {service, service, target, seconds(12), std::move(status), revision},
        At(seconds(0)));
  }
  void Advance(Duration time) { table.Advance(kAlone, At(time)); }
  // Versions that may get the next request.
  std::set<std::string> Usable(const std::string& service = "desk") const {
    std::set<std::string> versions;
    const auto rules = table.RulesFor(service, kRoute, 1, At(seconds(0)));
    for (const EndpointPtr& endpoint :
         endpoints.Available(service, At(seconds(0)))) {
      const bool is_allowed =
          rules.empty() ||
          std::any_of(rules.begin(), rules.end(), [&](const VersionRule& rule) {
            return rule.Allows(endpoint->record());
          });
      if (is_allowed)
        versions.insert(endpoint->record().version);
    }
    return versions;
  }
  void Respond(const std::string& version,
               Kind kind,
               int count,
               bool is_other_zone = false) {
    EndpointRecord record = MakeDeskRecord("any", "a");
    record.version = version;
    for (int i = 0; i < count; ++i) {
      table.OnSend("desk", kRoute, version);
      table.OnEnd("desk", kRoute, record,
                  {kind, milliseconds(50), true, is_other_zone});
    }
  }
  RolloutStage stage(const std::string& service = "desk") const {
    return table.Find(service)->stage();
  }

  EndpointTable endpoints;
  RolloutTable table{{0.1, 0, seconds(5)}, "node-1", 1, &endpoints};
};

using Versions = std::set<std::string>;
const Versions kAll{"v1", "v2", "v3"};

}  // namespace

BOOST_AUTO_TEST_SUITE(rollout_table)

BOOST_FIXTURE_TEST_CASE(limits_no_versions_without_an_order, Table) {
  BOOST_TEST(table.RulesFor("desk", kRoute, 1, At(seconds(0))).empty());
}

BOOST_FIXTURE_TEST_CASE(sends_nothing_to_a_target_without_allowance, Table) {
  Put("desk", "v2", 5);
  BOOST_TEST(Usable() == (Versions{"v1", "v3"}));
  BOOST_TEST(Usable("pool") == kAll);
}

// A process that starts after the end of an order has seen nothing of it.
BOOST_FIXTURE_TEST_CASE(honours_a_state_that_was_stored_before, Table) {
  table.Put({"desk", "desk", "v2", seconds(12),
             RolloutStatus{RolloutState::kCompleted, "v2"}, 5},
            At(seconds(0)));
  table.Put({"pool", "pool", "v2", seconds(12),
             RolloutStatus{RolloutState::kReverted, "v2"}, 6},
            At(seconds(0)));
  BOOST_TEST(Usable("desk") == Versions{"v2"});
  BOOST_TEST(Usable("pool") == (Versions{"v1", "v3"}));
}

BOOST_FIXTURE_TEST_CASE(ignores_the_state_of_another_target, Table) {
  Put("desk", "v3", 5, RolloutStatus{RolloutState::kReverted, "v2"});
  BOOST_TEST((stage() == RolloutStage::kCanary));
}

BOOST_FIXTURE_TEST_CASE(bars_the_target_of_an_order_that_is_taken_back, Table) {
  Put("desk", "v2", 5, RolloutStatus{RolloutState::kServing, "v2"});
  table.Remove("desk");
  BOOST_TEST(Usable() == (Versions{"v1", "v3"}));
  Put("desk", "v2", 8);
  table.Remove("desk");
  BOOST_TEST(Usable() == (Versions{"v1", "v3"}));
}

BOOST_FIXTURE_TEST_CASE(bars_the_target_of_an_order_that_is_changed, Table) {
  Put("desk", "v2", 5, RolloutStatus{RolloutState::kServing, "v2"});
  Put("desk", "v3", 6, RolloutStatus{RolloutState::kServing, "v2"});
  BOOST_TEST((stage() == RolloutStage::kCanary));
  BOOST_TEST(Usable() == Versions{"v1"});
}

BOOST_FIXTURE_TEST_CASE(goes_on_from_the_version_that_was_completed, Table) {
  Put("desk", "v2", 5, RolloutStatus{RolloutState::kCompleted, "v2"});
  Put("desk", "v3", 6, RolloutStatus{RolloutState::kCompleted, "v2"});
  BOOST_TEST(Usable() == Versions{"v2"});
}

// The operator writes the order of a completed rollout once more. Old endpoints
// are gone, and without the target's the service would be down.
BOOST_FIXTURE_TEST_CASE(serves_from_the_target_if_there_is_no_other, Table) {
  Put("desk", "v2", 5, RolloutStatus{RolloutState::kCompleted, "v2"});
  table.Put({"desk", "desk", "v2", seconds(12), std::nullopt, 6},
            At(seconds(0)));
  BOOST_TEST((stage() == RolloutStage::kCanary));
  BOOST_TEST(Usable() == Versions{"v2"});
}

// A relayed change may arrive after a later one.
BOOST_FIXTURE_TEST_CASE(ignores_older_revisions, Table) {
  Put("desk", "v2", 7, RolloutStatus{RolloutState::kReverted, "v2"});
  Put("desk", "v2", 6, RolloutStatus{RolloutState::kServing, "v2"});
  BOOST_TEST((stage() == RolloutStage::kReverted));
}

BOOST_FIXTURE_TEST_CASE(starts_anew_if_a_closed_order_is_repeated, Table) {
  Put("desk", "v2", 5, RolloutStatus{RolloutState::kReverted, "v2"});
  Put("desk", "v2", 9);
  BOOST_TEST((stage() == RolloutStage::kCanary));
}

BOOST_FIXTURE_TEST_CASE(keeps_orders_of_several_services_apart, Table) {
  Put("desk", "v2", 5);
  Put("pool", "v2", 6);
  Respond("v1", Kind::kAnswered, 200);
  Respond("v2", Kind::kFailed, 20);
  Advance(seconds(1));
  BOOST_TEST((stage("desk") == RolloutStage::kReverted));
  BOOST_TEST((stage("pool") == RolloutStage::kCanary));
}

// Rejections show load, not faults of the version.
BOOST_FIXTURE_TEST_CASE(does_not_count_requests_that_were_not_run, Table) {
  Put("desk", "v2", 5);
  Respond("v1", Kind::kAnswered, 200);
  Respond("v2", Kind::kNotRun, 50);
  Advance(seconds(1));
  BOOST_TEST((stage() == RolloutStage::kCanary));
}

// A partition between zones hides canary endpoints, which are few, from whole
// zones, while old endpoints are reached in each zone.
BOOST_FIXTURE_TEST_CASE(does_not_count_unreachable_endpoints_of_other_zones,
                        Table) {
  Put("desk", "v2", 5);
  Respond("v1", Kind::kAnswered, 200);
  Respond("v2", Kind::kUnreachable, 50, true);
  Advance(seconds(1));
  BOOST_TEST((stage() == RolloutStage::kCanary));
  Respond("v2", Kind::kUnreachable, 50, false);
  Advance(seconds(1));
  BOOST_TEST((stage() == RolloutStage::kReverted));
}

// A new connection to another zone takes longer than a short request.
BOOST_AUTO_TEST_CASE(does_not_take_the_way_to_another_zone_for_slowness) {
  RouteTimes times;
  for (int i = 0; i < 5; ++i)
    times.OnResponse("desk", kRoute, milliseconds(5));
  BOOST_TEST(!times.IsSlow("desk", kRoute, milliseconds(23)));
  BOOST_TEST(times.IsSlow("desk", kRoute, milliseconds(26)));
}

BOOST_FIXTURE_TEST_CASE(reverts_at_the_deadline_without_a_verdict, Table) {
  Put("desk", "v2", 5);
  Advance(seconds(12));
  BOOST_TEST((stage() == RolloutStage::kReverted));
  const auto writes = table.WantedWrites(kAlone, At(seconds(12)));
  BOOST_REQUIRE(writes.size() == 1);
  BOOST_TEST(
      (writes[0] == RolloutWrite{"desk", {RolloutState::kReverted, "v2"}, 5}));
}

BOOST_FIXTURE_TEST_CASE(writes_nothing_more_about_a_closed_order, Table) {
  Put("desk", "v2", 5, RolloutStatus{RolloutState::kCompleted, "v2"});
  Respond("v2", Kind::kFailed, 100);
  Advance(seconds(13));
  BOOST_TEST(table.WantedWrites(kAlone, At(seconds(13))).empty());
  BOOST_TEST((stage() == RolloutStage::kCompleted));
}

BOOST_FIXTURE_TEST_CASE(leaves_old_endpoints_once_completion_is_decided,
                        Table) {
  Put("desk", "v2", 5, RolloutStatus{RolloutState::kServing, "v2"});
  Respond("v1", Kind::kAnswered, 500);
  Respond("v2", Kind::kAnswered, 60);
  Advance(seconds(8));
  BOOST_TEST((stage() == RolloutStage::kCanary));
  Advance(seconds(9));
  BOOST_TEST((stage() == RolloutStage::kShifting));
  BOOST_TEST(table.WantedWrites(kAlone, At(seconds(9))).empty());
  const auto writes = table.WantedWrites(kAlone, At(seconds(10)));
  BOOST_REQUIRE(writes.size() == 1);
  BOOST_TEST((writes[0].status.state == RolloutState::kCompleted));
  table.OnWrite(writes[0]);
  BOOST_TEST(Usable() == Versions{"v2"});
}

BOOST_AUTO_TEST_SUITE(a_report)

RolloutReport MakeBadReport(const std::string& target, uint64_t revision) {
  RolloutReport report;
  report.order = OrderHash({"desk", "desk", target, {}, {}, 0});
  report.order_revision = revision;
  report.verdict = RolloutVerdict::kBad;
  return report;
}

BOOST_FIXTURE_TEST_CASE(of_a_bad_version_reverts_it_at_once, Table) {
  Put("desk", "v2", 5);
  BOOST_TEST(table.OnReport(MakeBadReport("v2", 5), At(seconds(1))));
  Advance(seconds(1));
  BOOST_TEST((stage() == RolloutStage::kReverted));
}

// The version was bad, was fixed, and the order was repeated.
BOOST_FIXTURE_TEST_CASE(about_an_earlier_order_is_ignored, Table) {
  Put("desk", "v2", 5, RolloutStatus{RolloutState::kReverted, "v2"});
  Put("desk", "v2", 9);
  BOOST_TEST(!table.OnReport(MakeBadReport("v2", 5), At(seconds(1))));
  BOOST_TEST(!table.OnReport(MakeBadReport("v3", 9), At(seconds(1))));
  Advance(seconds(1));
  BOOST_TEST((stage() == RolloutStage::kCanary));
}

BOOST_FIXTURE_TEST_CASE(tells_the_time_of_the_order, Table) {
  Put("desk", "v2", 5);
  RolloutReport report = MakeBadReport("v2", 5);
  report.verdict = RolloutVerdict::kNone;
  report.order_age = seconds(11);
  table.OnReport(report, At(seconds(0)));
  Advance(seconds(1));
  BOOST_TEST((table.Find("desk")->reason() == StageReason::kDeadline));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselthread::test
