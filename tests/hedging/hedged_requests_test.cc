#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::Field;
using test::HasStatus;
using test::IsComplete;
using test::MakeRequest;
using test::MakeResponse;
using Reply = test::ScriptedEndpoint::Reply;

// Endpoints of the service "desk" with a route that is hedged after 30 ms.
struct HedgingFixture : test::ScriptedEndpointsFixture {
  HedgingFixture() {
    SetShare("0.2");
    HedgePolicy& policy = harness.state().HedgePolicyFor("desk");
    for (size_t i = 0; i < ResponseTimes::kMinCount; ++i) {
      policy.OnRequest(harness.state().Now());
      harness.state().RetryAllowanceFor("desk").OnRequest(
          harness.state().Now());
      for (const char* route : {"list", "order"})
        policy.OnResponseTime(route, milliseconds(20));
    }
  }

  void SetShare(const std::string& share) {
    std::string text = harness.state().settings().ToText();
    const size_t start = text.find("\nshare = ") + 9;
    text.replace(start, text.find('\n', start) - start, share);
    harness.state().Reload(GatewaySettings::Parse(text, "test").TakeValue());
  }

  // Starts endpoints whose replies depend on how many requests have reached any
  // of them before.
  void StartEndpoints(
      int count,
      const std::function<Reply(const std::string& id, int seen)>& script) {
    Start("desk", count,
          [this, script](const std::string&, const std::string& id, int) {
            return script(id, seen++);
          });
  }

  std::string Send(const std::string& path,
                   const std::string& more_fields = "") {
    return harness.Exchange(
        MakeRequest("POST", path, "id-1", "body", more_fields), IsComplete);
  }

  int abandoned() const {
    int total = 0;
    for (const auto& endpoint : endpoints)
      total += endpoint->abandoned();
    return total;
  }

  bool HasMetric(const std::string& line) {
    return harness.state().RenderMetrics().find("teaselthread_" + line +
                                                "\n") != std::string::npos;
  }

  // Whether no attempt counts as running and no endpoint as failing.
  bool IsAccountingClean() {
    for (const EndpointPtr& endpoint :
         harness.state().endpoints().Running("desk")) {
      if (endpoint->local_requests() > 0 ||
          endpoint->health().failure_rate() > 0)
        return false;
    }
    return harness.state().buffers().used() == 0;
  }

  // Runs the gateway until the condition holds, for 3 s at most.
  bool Eventually(const std::function<bool()>& condition) {
    for (int i = 0; i < 300 && !condition(); ++i)
      harness.RunFor(milliseconds(10));
    return condition();
  }

  int seen = 0;
};

// A reply that never ends: its header and a part of its body.
Reply StalledReply(const std::string& id) {
  std::string reply = MakeResponse(id, "a long answer");
  reply.resize(reply.size() - 4);
  return Reply{reply};
}

// A complete response after a pause.
Reply LateReply(const std::string& response, Duration pause) {
  Reply reply;
  reply.rest = response;
  reply.pause = pause;
  return reply;
}

BOOST_FIXTURE_TEST_SUITE(a_request_whose_response_is_late, HedgingFixture)

BOOST_AUTO_TEST_CASE(is_answered_by_another_endpoint) {
  StartEndpoints(3, [](const std::string& id, int number) {
    return number == 0 ? Reply{} : Reply{MakeResponse(id, "second")};
  });
  const Timestamp start = harness.state().Now();
  const std::string response = Send("/list/");
  BOOST_TEST(HasStatus(response, "200"));
  BOOST_TEST(response.ends_with("second"));
  BOOST_TEST((harness.state().Now() - start >= milliseconds(30)));
  BOOST_TEST(seen == 2);
  BOOST_TEST(Eventually([&] { return abandoned() == 1; }));
  BOOST_TEST(Eventually([&] { return IsAccountingClean(); }));
  BOOST_TEST(HasMetric("hedges_sent_total 1"));
  BOOST_TEST(HasMetric("hedges_won_total 1"));
  BOOST_TEST(HasMetric("hedges_cancelled_total 1"));
}

BOOST_AUTO_TEST_CASE(gets_the_first_endpoints_response_if_that_is_sooner) {
  StartEndpoints(2, [](const std::string& id, int number) {
    return number == 0 ? LateReply(MakeResponse(id, "first"), milliseconds(60))
                       : Reply{};
  });
  BOOST_TEST(Send("/list/").ends_with("first"));
  BOOST_TEST(seen == 2);
  BOOST_TEST(Eventually([&] { return abandoned() == 1; }));
  BOOST_TEST(Eventually([&] { return IsAccountingClean(); }));
  BOOST_TEST(HasMetric("hedges_sent_total 1"));
  BOOST_TEST(HasMetric("hedges_won_total 0"));
  BOOST_TEST(HasMetric("hedges_cancelled_total 1"));
}

// Guards against a late response that is taken for that of a later request:
// the loser responds after it was cancelled.
BOOST_AUTO_TEST_CASE(does_not_get_the_cancelled_response_later) {
  StartEndpoints(2, [](const std::string& id, int number) {
    return number == 0 ? LateReply(MakeResponse(id, "late"), milliseconds(50))
                       : Reply{MakeResponse(id, "second")};
  });
  BOOST_TEST(Send("/list/").ends_with("second"));
  harness.RunFor(milliseconds(60));
  for (int i = 0; i < 4; ++i)
    BOOST_TEST(Send("/list/").ends_with("second"));
  BOOST_TEST(Eventually([&] { return IsAccountingClean(); }));
}

// Guards against a delay that shrinks because the times of cancelled attempts
// are missing: ever more requests would be hedged.
BOOST_AUTO_TEST_CASE(counts_in_the_delay_of_its_route_although_cancelled) {
  StartEndpoints(2, [](const std::string& id, int number) {
    return number % 2 == 0 ? Reply{} : Reply{MakeResponse(id, "second")};
  });
  HedgePolicy& policy = harness.state().HedgePolicyFor("desk");
  BOOST_TEST((policy.DelayFor("list") == milliseconds(30)));
  // More than 5 in 100 of the known times.
  for (int i = 0; i < 7; ++i)
    BOOST_TEST(Send("/list/").ends_with("second"));
  BOOST_TEST((policy.DelayFor("list") > milliseconds(30)));
}

BOOST_AUTO_TEST_CASE(is_still_answered_if_its_hedge_fails) {
  StartEndpoints(2, [](const std::string& id, int number) {
    return number == 0 ? LateReply(MakeResponse(id, "first"), milliseconds(60))
                       : Reply{MakeResponse(id, "no", "500 Error")};
  });
  BOOST_TEST(Send("/list/").ends_with("first"));
  BOOST_TEST(seen == 2);
  BOOST_TEST(HasMetric("attempt_failures_total{reason=\"server-error\"} 1"));
}

BOOST_AUTO_TEST_CASE(is_still_answered_if_its_first_attempt_breaks) {
  StartEndpoints(2, [](const std::string& id, int number) {
    if (number == 0) {
      Reply reply = LateReply("H", milliseconds(40));
      reply.resets = true;
      return reply;
    }
    return LateReply(MakeResponse(id, "second"), milliseconds(60));
  });
  BOOST_TEST(Send("/list/").ends_with("second"));
  BOOST_TEST(seen == 2);
  BOOST_TEST(HasMetric("attempt_failures_total{reason=\"broken\"} 1"));
  BOOST_TEST(HasMetric("hedges_won_total 1"));
}

// Guards against a third endpoint that runs the request: its max_attempts is 2.
BOOST_AUTO_TEST_CASE(ends_with_an_unknown_outcome_if_both_attempts_break) {
  StartEndpoints(3, [](const std::string&, int) {
    Reply reply = LateReply("H", milliseconds(40));
    reply.resets = true;
    return reply;
  });
  BOOST_TEST(HasStatus(Send("/list/"), "502"));
  BOOST_TEST(seen == 2);
  BOOST_TEST(HasMetric("attempt_failures_total{reason=\"broken\"} 2"));
}

BOOST_AUTO_TEST_CASE(is_cancelled_at_both_endpoints_when_its_caller_leaves) {
  StartEndpoints(2,
                 [](const std::string& id, int) { return StalledReply(id); });
  harness.SendAndDisconnect(MakeRequest("POST", "/list/", "id-1", "body"),
                            milliseconds(150));
  BOOST_TEST(seen == 2);
  BOOST_TEST(abandoned() == 0);
  BOOST_TEST(Eventually([&] { return abandoned() == 2; }));
  BOOST_TEST(
      Eventually([&] { return harness.state().requests_in_progress == 0u; }));
  BOOST_TEST(Eventually([&] { return IsAccountingClean(); }));
}

BOOST_AUTO_TEST_CASE(is_cancelled_at_both_endpoints_at_its_deadline) {
  StartEndpoints(2,
                 [](const std::string& id, int) { return StalledReply(id); });
  BOOST_TEST(
      HasStatus(Send("/list/", Field(platform::kDeadline, "150")), "504"));
  BOOST_TEST(seen == 2);
  BOOST_TEST(Eventually([&] { return abandoned() == 2; }));
}

// Guards against a deadline that only the first attempt's guard watches: that
// attempt is given up as silent before, and the hedge continues.
BOOST_AUTO_TEST_CASE(is_cancelled_at_its_deadline_after_one_attempt_ended) {
  StartEndpoints(2, [](const std::string& id, int number) {
    return number == 0 ? Reply{} : StalledReply(id);
  });
  BOOST_TEST(
      HasStatus(Send("/list/", Field(platform::kDeadline, "600")), "504"));
  BOOST_TEST(Eventually([&] { return abandoned() == 2; }));
  BOOST_TEST(HasMetric("attempt_failures_total{reason=\"silent\"} 1"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_late_request_is_not_hedged, HedgingFixture)

BOOST_AUTO_TEST_CASE(if_it_is_not_idempotent) {
  StartEndpoints(2, [](const std::string& id, int) {
    return LateReply(MakeResponse(id, "first"), milliseconds(60));
  });
  BOOST_TEST(Send("/order/").ends_with("first"));
  BOOST_TEST(seen == 1);
  BOOST_TEST(HasMetric("hedges_sent_total 0"));
}

BOOST_AUTO_TEST_CASE(if_the_share_is_zero) {
  SetShare("0");
  StartEndpoints(2, [](const std::string& id, int) {
    return LateReply(MakeResponse(id, "first"), milliseconds(60));
  });
  BOOST_TEST(Send("/list/").ends_with("first"));
  BOOST_TEST(seen == 1);
}

BOOST_AUTO_TEST_CASE(if_the_only_other_endpoint_has_a_late_request_too) {
  StartEndpoints(2, [](const std::string& id, int) {
    return LateReply(MakeResponse(id, "first"), milliseconds(60));
  });
  for (const char* id : {"desk-0", "desk-1"})
    harness.state().overdue_attempts().Add(id);
  BOOST_TEST(Send("/list/").ends_with("first"));
  BOOST_TEST(seen == 1);
  BOOST_TEST(HasMetric("hedges_denied_total{reason=\"no-endpoint\"} 1"));
}

BOOST_AUTO_TEST_CASE(after_a_rejection) {
  StartEndpoints(2, [](const std::string& id, int number) {
    return number == 0 ? Reply{MakeResponse(id, "", "503 Busy",
                                            Field(platform::kNotExecuted, "1"))}
                       : LateReply(MakeResponse(id, "late"), milliseconds(60));
  });
  BOOST_TEST(Send("/list/").ends_with("late"));
  BOOST_TEST(seen == 2);
  BOOST_TEST(HasMetric("hedges_denied_total{reason=\"no-capacity\"} 1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
