#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/rollouts/rollout_table.h"

namespace teaselthread {
namespace {

using std::chrono::seconds;
using test::At;

// A node that knows an order as of revision 100 of the store.
struct OrderFixture {
  void Put(uint64_t revision, std::optional<RolloutStatus> status) {
    table.Put({"desk", "desk", "v2", seconds(12), std::move(status), revision},
              At(seconds(0)));
  }
  const Rollout& rollout() { return table.rollouts().at("desk"); }

  EndpointTable endpoints;
  RolloutTable table{{0.1, 0, seconds(5)}, "a", 1, &endpoints};
};

BOOST_FIXTURE_TEST_SUITE(an_order_after_a_restore, OrderFixture)

// Guards against orders that are ignored until the store's revision has passed
// the former one.
BOOST_AUTO_TEST_CASE(is_taken_with_a_lower_revision) {
  Put(100, {});
  table.Remove("desk");
  table.OnStoreRestored();
  Put(60, {});
  BOOST_TEST(table.rollouts().contains("desk"));
}

// Guards against reports that are ignored since their order is known as of a
// revision of the former history.
BOOST_AUTO_TEST_CASE(counts_reports_of_others) {
  Put(100, {});
  table.OnStoreRestored();
  Put(60, {});
  RolloutReport report = rollout().MakeReport(At(seconds(1)));
  BOOST_TEST(report.order_revision == 60u);
  report.verdict = RolloutVerdict::kBad;
  table.OnReport(report, At(seconds(1)));
  BOOST_TEST((rollout().verdict() == RolloutVerdict::kBad));
}

// Guards against a second trial of a version that was found bad, since the copy
// does not have the state that was written.
BOOST_AUTO_TEST_CASE(stays_reverted) {
  Put(90, {});
  Put(100, RolloutStatus{RolloutState::kReverted, "v2"});
  table.OnStoreRestored();
  Put(60, {});
  BOOST_TEST(rollout().order().is_closed());
  BOOST_TEST(rollout().order().revision == 60u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
