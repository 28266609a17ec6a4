#include <boost/test/unit_test.hpp>

#include "heartbeat.pb.h"
#include "teaselthread/gateway/heartbeat_conversion.h"

namespace teaselthread::test {
namespace {

using std::chrono::milliseconds;

// The operators' limit for what a rollout adds to a heartbeat.
constexpr size_t kMaxBytes = 300;

// A report in the middle of a busy order, with as many routes as there may be.
RolloutReport MakeReport() {
  RolloutReport report;
  report.order = 0x89abcdef;
  report.order_revision = 12'345;
  report.order_age = milliseconds(9'000);
  report.verdict = RolloutVerdict::kGood;
  report.has_counters = true;
  report.sender = "edge-a-041";
  report.zone = "zone-a";
  report.start = 0x89abcdef;
  report.sequence = 90;
  report.old_requests = 40;
  report.shifted = true;
  report.is_complete = true;
  report.age = milliseconds(700);
  for (uint32_t route = 0; route <= RolloutCounters::kMaxRoutes; ++route) {
    report.counters.routes[route * 0x10000001] = {{3'000, 90, 2'900, 60},
                                                  {150, 5, 140, 3}};
  }
  return report;
}

wire::GatewayHeartbeat Encode(const RolloutReport& report) {
  wire::GatewayHeartbeat message;
  EncodeReport(report, message.add_rollout_reports());
  return message;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_rollout_report)

BOOST_AUTO_TEST_CASE(is_the_same_after_the_transfer) {
  const auto reports = DecodeReports(Encode(MakeReport()));
  BOOST_REQUIRE(reports.size() == 1);
  BOOST_TEST((reports[0] == MakeReport()));
}

BOOST_AUTO_TEST_CASE(fits_into_its_share_of_a_heartbeat) {
  BOOST_TEST(Encode(MakeReport()).ByteSizeLong() <= kMaxBytes);
}

// Other versions of the program may send what this one cannot read.
BOOST_AUTO_TEST_CASE(is_left_out_if_it_is_not_valid) {
  wire::GatewayHeartbeat odd_verdict = Encode(MakeReport());
  odd_verdict.mutable_rollout_reports(0)->set_verdict(7);
  BOOST_TEST(DecodeReports(odd_verdict).empty());
  wire::GatewayHeartbeat odd_route = Encode(MakeReport());
  odd_route.mutable_rollout_reports(0)->mutable_routes(2)->clear_target();
  BOOST_TEST(DecodeReports(odd_route).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_relayed_change)

StoreChange Transfer(const StoreChange& change, RelayedList list) {
  wire::StoreChange message;
  EncodeChange(change, &message);
  return DecodeChange(list, message).value();
}

BOOST_AUTO_TEST_CASE(of_an_order_is_the_same_after_the_transfer) {
  StoreChange change{"desk", false, std::nullopt};
  change.rollout =
      RolloutOrder{"desk", "desk", "v2", milliseconds(12'500), std::nullopt, 7};
  BOOST_TEST((Transfer(change, RelayedList::kRollouts) == change));
  change.rollout->status = RolloutStatus{RolloutState::kReverted, "v1"};
  BOOST_TEST((Transfer(change, RelayedList::kRollouts) == change));
}

// Guards against streams that are continued at another version, since gateways
// knew no versions unless rollouts were on.
BOOST_AUTO_TEST_CASE(of_an_endpoint_is_the_same_after_the_transfer) {
  EndpointRecord record;
  record.id = "i-1";
  record.address = {"192.0.2.1", 8080};
  record.version = "v2";
  const StoreChange change{"i-1", false, record};
  BOOST_TEST((Transfer(change, RelayedList::kEndpoints) == change));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselthread::test
