#include <boost/test/unit_test.hpp>

#include "libteaselthread/metrics.h"
#include "libteaselthread/requests/request_filters.h"
#include "libteaselthread/requests/retry_budget.h"
#include "libteaselthread/timer_service.h"
#include "support/fake_fleet.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;

struct FilterFixture {
  FilterFixture()
      : node(test::MakeMember(1, "a"), {test::MakeEngine("engine-1", "a")}),
        chain(MakeEntryChain(node.fleet())) {
    context.request.customer = "c";
    context.request.profile = "chat";
    context.request.target = "dossier";
  }
  std::string Refusal(Duration at = seconds(0)) {
    const auto refusal = chain.Apply(context, At(at));
    return refusal ? std::string(ToString(refusal->reason)) : "passed";
  }

  test::FakeNode node;
  FilterChain chain;
  RequestContext context;
};

BOOST_FIXTURE_TEST_SUITE(a_request_passes_the_filters, FilterFixture)

BOOST_AUTO_TEST_CASE(and_gets_its_profile_and_deadline) {
  BOOST_TEST(Refusal() == "passed");
  BOOST_TEST(context.profile->name == "chat");
  BOOST_TEST((context.deadline == At(seconds(60))));
}

BOOST_AUTO_TEST_CASE(with_its_own_deadline_if_that_is_earlier) {
  context.request.remaining = seconds(1);
  BOOST_TEST(Refusal() == "passed");
  BOOST_TEST((context.deadline == At(seconds(1))));
}

BOOST_AUTO_TEST_CASE(or_is_refused_for_an_unknown_profile_or_target) {
  context.request.profile = "nonsense";
  BOOST_TEST(Refusal() == "unknown-profile");
  context.request.profile = "chat";
  context.request.target = "nonsense";
  BOOST_TEST(Refusal() == "unknown-model");
  context.request.kind = EndpointKind::kService;
  BOOST_TEST(Refusal() == "unknown-service");
}

BOOST_AUTO_TEST_CASE(with_a_ticket_in_its_key_if_it_is_not_repeatable) {
  context.request.profile = "order";
  BOOST_TEST(Refusal() == "ticket-required");
  context.request.idempotency_key = "tt1-nonsense";
  BOOST_TEST(Refusal() == "ticket-malformed");
  context.request.idempotency_key =
      Ticket(Incarnation(1), WallSeconds(1), 1).ToString() + "-1";
  BOOST_TEST(Refusal() == "passed");
}

BOOST_AUTO_TEST_SUITE(the_limits_of_its_customer_are_enforced)

BOOST_AUTO_TEST_CASE(on_the_rate_with_a_retry_time) {
  node.Configure(test::DocumentWithModel("") +
                 "[customers]\nrequests_per_second = 2\n");
  BOOST_TEST(Refusal() == "passed");
  BOOST_TEST(Refusal() == "passed");
  const auto refusal = chain.Apply(context, At(seconds(0)));
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->reason == RefusalReason::kCustomerRate));
  BOOST_TEST((refusal->retry_after == milliseconds(500)));
  BOOST_TEST(Refusal(refusal->retry_after) == "passed");
}

BOOST_AUTO_TEST_CASE(on_concurrency_until_a_request_ends) {
  node.Configure(test::DocumentWithModel("") +
                 "[customers]\nconcurrency = 1\n");
  BOOST_TEST(Refusal() == "passed");
  const RequestContext running = context;
  BOOST_TEST(Refusal() == "customer-concurrency");
  chain.OnEnd(running);
  BOOST_TEST(Refusal() == "passed");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(components_of_every_node)

BOOST_AUTO_TEST_CASE(a_late_timer_fires_once_and_keeps_its_interval) {
  TimerService timers;
  int fired = 0;
  timers.Subscribe(seconds(1), At(seconds(0)), [&](Timestamp) { ++fired; });
  timers.Advance(At(milliseconds(999)));
  BOOST_TEST(fired == 0);
  timers.Advance(At(seconds(5)));
  BOOST_TEST(fired == 1);
  BOOST_TEST((timers.next_due() == At(seconds(6))));
}

BOOST_AUTO_TEST_CASE(retries_are_limited_to_a_fraction_of_the_requests) {
  RetryBudget budget;
  int taken = 0;
  while (budget.TryTake())
    ++taken;
  BOOST_TEST(taken == 20);
  for (int i = 0; i < 10; ++i)
    budget.OnRequest();
  BOOST_TEST(budget.TryTake());
}

BOOST_AUTO_TEST_CASE(metrics_count_each_outcome_by_its_reason) {
  Metrics metrics;
  metrics.OnOutcome("chat", UnsentCall().MarkPossiblySent().Answer(),
                    milliseconds(5));
  metrics.OnOutcome("chat",
                    UnsentCall().Refuse(RefusalReason::kQueueFull, seconds(1)),
                    milliseconds(1));
  metrics.OnRetry(RetryReason::kStreamCut);
  const std::string text = metrics.Render({});
  for (const char* line :
       {"refusals_total{reason=\"queue-full\"} 1\n",
        "retries_total{reason=\"stream-cut\"} 1\n",
        "requests_total{profile=\"chat\",outcome=\"answered\"} 1\n",
        "requests_total{profile=\"chat\",outcome=\"not-run\"} 1\n",
        "request_seconds_count{profile=\"chat\"} 1\n"})
    BOOST_TEST(text.find(line) != std::string::npos, line);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
