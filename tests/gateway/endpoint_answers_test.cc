#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::EventChunk;
using test::Field;
using test::IsWhole;
using test::kLastChunk;
using test::MakeAnswer;
using test::MakeRequest;
using test::ScriptedEndpoint;
using test::StreamHead;
using Reply = ScriptedEndpoint::Reply;

const std::string kNotRun = test::Field(platform::kNotExecuted, "1");

struct AnswersFixture {
  // Endpoints of one service with the same script.
  void Start(const std::string& service,
             int count,
             const ScriptedEndpoint::Script& script) {
    for (int i = 0; i < count; ++i) {
      endpoints.push_back(
          std::make_unique<ScriptedEndpoint>(&harness.io(), script));
      harness.AddEndpoint(service + "-" + std::to_string(i), service,
                          *endpoints.back());
    }
  }
  std::string Ask(const std::string& path, const std::string& id) {
    return harness.Exchange(MakeRequest("POST", path, id, "body"), IsWhole);
  }
  size_t sends() const {
    size_t total = 0;
    for (const auto& endpoint : endpoints)
      total += endpoint->heads().size();
    return total;
  }

  test::GatewayHarness harness;
  std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
};

bool HasStatus(const std::string& answer, const std::string& status) {
  return answer.size() > 12 && answer.substr(9, 3) == status;
}

BOOST_FIXTURE_TEST_SUITE(an_order_that_may_not_be_repeated, AnswersFixture)

BOOST_AUTO_TEST_CASE(goes_elsewhere_if_it_was_rejected) {
  int seen = 0;
  Start("desk", 2, [&](const std::string&, const std::string& id, int) {
    return seen++ == 0 ? Reply{MakeAnswer(id, "", "503 Busy", kNotRun)}
                       : Reply{MakeAnswer(id, "done")};
  });
  BOOST_TEST(HasStatus(Ask("/order/", "id-1"), "200"));
  BOOST_TEST(sends() == 2u);
}

BOOST_AUTO_TEST_CASE(is_refused_if_all_reject_it) {
  Start("desk", 2, [](const std::string&, const std::string& id, int) {
    return Reply{MakeAnswer(id, "", "503 Busy", kNotRun)};
  });
  const std::string answer = Ask("/order/", "id-1");
  BOOST_TEST(HasStatus(answer, "503"));
  BOOST_TEST(answer.find("Retry-After") != std::string::npos);
  BOOST_TEST(answer.find("seal-") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ends_as_502_if_its_answer_is_lost) {
  Start("desk", 2, [](const std::string&, const std::string&, int) {
    return Reply{"", false, true};
  });
  BOOST_TEST(HasStatus(Ask("/order/", "id-1"), "502"));
  BOOST_TEST(sends() == 1u);
}

BOOST_AUTO_TEST_CASE(ends_as_502_if_its_answer_is_cut) {
  Start("desk", 2, [](const std::string&, const std::string& id, int) {
    std::string answer = MakeAnswer(id, "a long answer");
    answer.resize(answer.size() - 4);
    return Reply{answer, true};
  });
  const std::string answer = Ask("/order/", "id-1");
  BOOST_TEST(HasStatus(answer, "502"));
  BOOST_TEST(answer.find("a long") == std::string::npos);
  BOOST_TEST(sends() == 1u);
}

BOOST_AUTO_TEST_CASE(gets_the_endpoints_own_failure_with_its_seal) {
  Start("desk", 2, [](const std::string&, const std::string& id, int) {
    return Reply{MakeAnswer(id, "no", "500 Error")};
  });
  const std::string answer = Ask("/order/", "id-1");
  BOOST_TEST(HasStatus(answer, "500"));
  BOOST_TEST(answer.find("seal-id-1") != std::string::npos);
  BOOST_TEST(sends() == 1u);
}

BOOST_AUTO_TEST_CASE(ends_as_504_at_its_deadline) {
  Start("desk", 1,
        [](const std::string&, const std::string&, int) { return Reply{}; });
  const std::string answer =
      harness.Exchange(MakeRequest("POST", "/order/", "id-1", "body",
                                   Field(platform::kDeadline, "150")),
                       IsWhole);
  BOOST_TEST(HasStatus(answer, "504"));
  BOOST_TEST(endpoints[0]->abandoned() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_answer_that_is_not_its_own, AnswersFixture)

BOOST_AUTO_TEST_CASE(is_read_past_where_the_next_is_due) {
  Start("desk", 1, [](const std::string&, const std::string& id, int number) {
    const std::string stray =
        number == 1 ? MakeAnswer("id-old", "not yours") : "";
    return Reply{stray + MakeAnswer(id, "yours")};
  });
  Ask("/order/", "id-1");
  const std::string answer = Ask("/order/", "id-2");
  BOOST_TEST(answer.find("\r\n\r\nyours") != std::string::npos);
  BOOST_TEST(answer.find("seal-id-2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ends_the_connection_that_it_waits_on) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return Reply{MakeAnswer(id, "yours") + MakeAnswer("id-old", "not yours")};
  });
  BOOST_TEST(Ask("/order/", "id-1").find("not yours") == std::string::npos);
  harness.RunFor(milliseconds(20));
  BOOST_TEST(Ask("/order/", "id-2").find("not yours") == std::string::npos);
  BOOST_TEST(endpoints[0]->connections() == 2);
}

BOOST_AUTO_TEST_CASE(is_no_answer_if_it_is_no_http) {
  Start("desk", 1, [](const std::string&, const std::string&, int) {
    return Reply{"what is this\r\n\r\n", true};
  });
  BOOST_TEST(HasStatus(Ask("/order/", "id-1"), "502"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_answer_without_a_length, AnswersFixture)

BOOST_AUTO_TEST_CASE(is_whole_if_the_endpoint_closes) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return Reply{"HTTP/1.1 200 OK\r\n" + Field(platform::kRequestId, id) +
                     "\r\nto the end",
                 true};
  });
  const std::string answer = Ask("/order/", "id-1");
  BOOST_TEST(HasStatus(answer, "200"));
  BOOST_TEST(answer.find("to the end") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(is_cut_if_the_connection_is_reset) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return Reply{
        "HTTP/1.1 200 OK\r\n" + Field(platform::kRequestId, id) + "\r\nto the",
        false, true};
  });
  const std::string answer = Ask("/order/", "id-1");
  BOOST_TEST_CONTEXT(answer)
  BOOST_TEST(HasStatus(answer, "502"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_answer_before_the_body_is_read, AnswersFixture)

BOOST_AUTO_TEST_CASE(is_passed_on_and_its_connection_not_used_again) {
  Start("desk", 1, [](const std::string&, const std::string& id, int number) {
    return number == 0 ? Reply{MakeAnswer(id, "too long", "413 Too Large"),
                               false, false, false}
                       : Reply{MakeAnswer(id, "done")};
  });
  // More than the buffers of the connection take.
  const std::string body(8'000'000, 'x');
  const std::string answer =
      harness.Exchange(MakeRequest("POST", "/order/", "id-1", body), IsWhole);
  BOOST_TEST(HasStatus(answer, "413"));
  BOOST_TEST(HasStatus(Ask("/order/", "id-2"), "200"));
  BOOST_TEST(endpoints[0]->connections() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_stream, AnswersFixture)

BOOST_AUTO_TEST_CASE(that_breaks_inside_an_event_goes_on_elsewhere) {
  int seen = 0;
  Start("pool", 2, [&](const std::string& head, const std::string& id, int) {
    if (seen++ == 0) {
      return Reply{StreamHead(id) + EventChunk(1) + EventChunk(2) +
                       "9\r\nid: 3\ndat\r\n",
                   false, true};
    }
    BOOST_TEST(head.find("Last-Event-Id: 2") != std::string::npos);
    return Reply{StreamHead(id) + EventChunk(3) + EventChunk(4) + kLastChunk};
  });
  const std::string answer = Ask("/chat/", "id-1");
  BOOST_TEST(IsWhole(answer));
  size_t last = 0;
  for (const char* event : {"id: 1\n", "id: 2\n", "id: 3\n", "id: 4\n"}) {
    const size_t at = answer.find(event);
    BOOST_TEST(at != std::string::npos);
    BOOST_TEST(at > last);
    BOOST_TEST(answer.find(event, at + 1) == std::string::npos);
    last = at;
  }
}

BOOST_AUTO_TEST_CASE(does_not_look_whole_if_it_cannot_go_on) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return Reply{StreamHead(id) + EventChunk(1), false, true};
  });
  const std::string answer = Ask("/chat/", "id-1");
  BOOST_TEST(answer.find("id: 1\n") != std::string::npos);
  BOOST_TEST(!IsWhole(answer));
}

BOOST_AUTO_TEST_CASE(is_reset_for_a_caller_that_takes_no_chunks) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return Reply{StreamHead(id) + EventChunk(1), false, true};
  });
  std::string request = MakeRequest("POST", "/chat/", "id-1", "body");
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  const std::string answer =
      harness.Exchange(request, [](const std::string&) { return false; });
  BOOST_TEST(answer.find("id: 1\n") != std::string::npos);
  BOOST_TEST((harness.last_failure() == asio::error::connection_reset));
}

BOOST_AUTO_TEST_CASE(whose_engine_says_nothing_begins_elsewhere) {
  int seen = 0;
  Start("pool", 2, [&](const std::string&, const std::string& id, int) {
    return seen++ == 0 ? Reply{}
                       : Reply{StreamHead(id) + EventChunk(1) + kLastChunk};
  });
  BOOST_TEST(IsWhole(Ask("/chat/", "id-1")));
  BOOST_TEST(sends() == 2u);
  BOOST_TEST(endpoints[0]->abandoned() + endpoints[1]->abandoned() == 1);
}

BOOST_AUTO_TEST_CASE(that_its_caller_leaves_is_cancelled) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return Reply{StreamHead(id) + EventChunk(1)};
  });
  harness.SendAndLeave(MakeRequest("POST", "/chat/", "id-1", "body"),
                       milliseconds(50));
  harness.RunFor(milliseconds(50));
  BOOST_TEST(endpoints[0]->abandoned() == 1);
  BOOST_TEST(harness.state().requests_in_progress == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
