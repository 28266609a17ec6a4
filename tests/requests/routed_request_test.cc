#include "libteaselthread/requests/routed_request.h"

#include <boost/test/unit_test.hpp>

#include "support/fake_fleet.h"

namespace teaselthread {
namespace {

using std::chrono::seconds;
using test::FakeNode;

constexpr Timestamp kNow(seconds(1'000));
constexpr RefusedNotRun kBusy{RefusalReason::kEndpointBusy, seconds(1)};
constexpr char kEvents[] = "text/event-stream";

struct RequestFixture {
  RequestFixture()
      : node(test::MakeMember(1, "a"),
             {test::MakeEngine("engine-1", "a"),
              test::MakeEngine("engine-2", "a"),
              test::MakeService("desk-1", "a"),
              test::MakeService("desk-2", "a")}) {}

  RoutedRequest MakeChat() {
    return RoutedRequest(
        &node.router, &budget,
        {EndpointKind::kModelEngine, "dossier", "customer/chat", "", {}, {}},
        /*repeatable=*/true);
  }
  RoutedRequest MakeOrder() {
    return RoutedRequest(
        &node.router, &budget,
        {EndpointKind::kService, "desk", "customer/order", "", {}, {}},
        /*repeatable=*/false);
  }
  static const ForwardCall& Forwarded(const RouteActions& actions) {
    BOOST_REQUIRE(!actions.empty());
    BOOST_REQUIRE(std::holds_alternative<ForwardCall>(actions.back()));
    return std::get<ForwardCall>(actions.back());
  }
  static std::string EndOf(const RouteActions& actions) {
    BOOST_REQUIRE(!actions.empty());
    BOOST_REQUIRE(std::holds_alternative<FinishCall>(actions.back()));
    return Describe(std::get<FinishCall>(actions.back()).outcome);
  }

  FakeNode node;
  RetryBudget budget;
};

BOOST_FIXTURE_TEST_SUITE(a_routed_request, RequestFixture)

BOOST_AUTO_TEST_SUITE(that_is_a_streamed_chat)

BOOST_AUTO_TEST_CASE(is_relayed_in_complete_events_up_to_its_end_marker) {
  RoutedRequest chat = MakeChat();
  Forwarded(chat.Start(kNow));
  BOOST_TEST(chat.OnHead(200, kEvents, kNow).size() == 1u);
  BOOST_TEST(chat.OnData("data: on").empty());
  const RouteActions data = chat.OnData("e\n\ndata: t");
  BOOST_TEST(std::get<RelayData>(data.front()).bytes == "data: one\n\n");
  BOOST_TEST(EndOf(chat.OnData("wo\n\ndata: [DONE]\n\n")) == "answered");
  BOOST_TEST(chat.OnLost(UnknownReason::kOwnerLost, kNow).empty());
}

BOOST_AUTO_TEST_CASE(resumes_elsewhere_after_the_last_complete_event) {
  RoutedRequest chat = MakeChat();
  const std::string first = Forwarded(chat.Start(kNow)).placement.endpoint;
  chat.OnHead(200, kEvents, kNow);
  chat.OnData("data: one\n\ndata: tw");
  const RouteActions lost = chat.OnLost(UnknownReason::kConnectionLost, kNow);
  const ForwardCall& again = Forwarded(lost);
  BOOST_TEST(again.resume_from == 1u);
  BOOST_TEST(again.placement.endpoint != first);
  BOOST_TEST((again.retry_of == RetryReason::kStreamCut));
  BOOST_TEST(chat.OnHead(200, kEvents, kNow).empty());
  const RouteActions data = chat.OnData("data: two\n\ndata: [DONE]\n\n");
  BOOST_TEST(std::get<RelayData>(data.front()).bytes ==
             "data: two\n\ndata: [DONE]\n\n");
  BOOST_TEST(EndOf(data) == "answered");
}

BOOST_AUTO_TEST_CASE(is_not_complete_without_its_end_marker) {
  RoutedRequest chat = MakeChat();
  chat.Start(kNow);
  chat.OnHead(200, kEvents, kNow);
  chat.OnData("data: one\n\n");
  Forwarded(chat.OnEnd(11, kNow));
}

BOOST_AUTO_TEST_CASE(is_never_reported_as_not_run_if_it_may_have_run) {
  RoutedRequest chat = MakeChat();
  chat.Start(kNow);
  Forwarded(chat.OnLost(UnknownReason::kOwnerLost, kNow));
  BOOST_TEST(EndOf(chat.OnNotRun(
                 {RefusalReason::kEndpointUnreachable, seconds(1)}, kNow)) ==
             "may have run: owner-lost");
}

BOOST_AUTO_TEST_CASE(is_rerun_a_limited_number_of_times) {
  RoutedRequest chat = MakeChat();
  RouteActions actions = chat.Start(kNow);
  int attempts = 0;
  for (; !chat.finished() && attempts < 100; ++attempts)
    actions = chat.OnLost(UnknownReason::kOwnerLost, kNow);
  BOOST_TEST(attempts == 4);
  BOOST_TEST(EndOf(actions) == "may have run: owner-lost");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_may_not_be_repeated)

BOOST_AUTO_TEST_CASE(is_retried_elsewhere_if_it_was_certainly_not_sent) {
  RoutedRequest order = MakeOrder();
  const std::string first = Forwarded(order.Start(kNow)).placement.endpoint;
  const RouteActions refused = order.OnNotRun(kBusy, kNow);
  BOOST_TEST(Forwarded(refused).placement.endpoint != first);
}

BOOST_AUTO_TEST_CASE(ends_as_unknown_at_once_when_its_attempt_is_lost) {
  RoutedRequest order = MakeOrder();
  order.Start(kNow);
  BOOST_TEST(EndOf(order.OnLost(UnknownReason::kConnectionLost, kNow)) ==
             "may have run: connection-lost");
}

BOOST_AUTO_TEST_CASE(
    ends_as_unknown_when_its_deadline_passes_after_it_was_sent) {
  RoutedRequest order = MakeOrder();
  order.Start(kNow);
  BOOST_TEST(EndOf(order.OnDeadline()) == "may have run: timed-out");
}

BOOST_AUTO_TEST_CASE(is_not_complete_with_a_truncated_body) {
  RoutedRequest order = MakeOrder();
  order.Start(kNow);
  order.OnHead(200, "application/json", kNow);
  order.OnData("{}");
  BOOST_TEST(EndOf(order.OnEnd(3, kNow)) == "may have run: truncated-answer");
}

BOOST_AUTO_TEST_CASE(
    relays_the_response_of_the_service_even_if_it_is_an_error) {
  RoutedRequest order = MakeOrder();
  order.Start(kNow);
  order.OnHead(503, "text/plain", kNow);
  order.OnData("no");
  const RouteActions actions = order.OnEnd(2, kNow);
  BOOST_TEST(std::get<RelayHead>(actions.front()).status == 503);
  BOOST_TEST(EndOf(actions) == "answered");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_finds_no_free_endpoint)

BOOST_AUTO_TEST_CASE(is_refused_at_once_with_the_owners_reason_and_retry_time) {
  RoutedRequest chat = MakeChat();
  RouteActions actions = chat.Start(kNow);
  int attempts = 0;
  for (; !chat.finished() && attempts < 100; ++attempts)
    actions = chat.OnNotRun({RefusalReason::kQueueFull, seconds(2)}, kNow);
  BOOST_TEST(EndOf(actions) == "not run: queue-full");
  const auto& finish = std::get<FinishCall>(actions.back());
  BOOST_TEST((finish.outcome.refused()->retry_after == seconds(2)));
  BOOST_TEST(attempts == 2);
}

BOOST_AUTO_TEST_CASE(waits_for_one_endpoint_if_all_are_busy) {
  RoutedRequest chat = MakeChat();
  BOOST_TEST(
      (Forwarded(chat.Start(kNow)).placement.max_wait == Duration::zero()));
  chat.OnNotRun(kBusy, kNow);
  BOOST_TEST((Forwarded(chat.OnNotRun(kBusy, kNow)).placement.max_wait ==
              Placement::kUntilDeadline));
}

BOOST_AUTO_TEST_CASE(is_refused_at_once_if_no_endpoint_is_left) {
  node.Configure(test::DocumentWithModel("") + "[fleet]\nzones_out = a\n");
  BOOST_TEST(EndOf(MakeChat().Start(kNow)) == "not run: no-endpoint");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
