#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::EventChunk;
using test::Field;
using test::HasStatus;
using test::IsComplete;
using test::kLastChunk;
using test::MakeRequest;
using test::MakeResponse;
using test::ScriptedEndpoint;
using test::StreamHead;
using Reply = ScriptedEndpoint::Reply;

const std::string kNotRun = test::Field(platform::kNotExecuted, "1");

struct EndpointResponseFixture : test::ScriptedEndpointsFixture {
  std::string Send(const std::string& path, const std::string& id) {
    return harness.Exchange(MakeRequest("POST", path, id, "body"), IsComplete);
  }
  size_t requests_received() const {
    size_t total = 0;
    for (const auto& endpoint : endpoints)
      total += endpoint->heads().size();
    return total;
  }
};

BOOST_FIXTURE_TEST_SUITE(a_non_idempotent_request, EndpointResponseFixture)

BOOST_AUTO_TEST_CASE(is_retried_at_another_endpoint_if_rejected) {
  int seen = 0;
  Start("desk", 2, [&](const std::string&, const std::string& id, int) {
    return seen++ == 0 ? Reply{MakeResponse(id, "", "503 Busy", kNotRun)}
                       : Reply{MakeResponse(id, "done")};
  });
  BOOST_TEST(HasStatus(Send("/order/", "id-1"), "200"));
  BOOST_TEST(requests_received() == 2u);
}

BOOST_AUTO_TEST_CASE(is_refused_if_all_endpoints_reject_it) {
  Start("desk", 2, [](const std::string&, const std::string& id, int) {
    return Reply{MakeResponse(id, "", "503 Busy", kNotRun)};
  });
  const std::string response = Send("/order/", "id-1");
  BOOST_TEST(HasStatus(response, "503"));
  BOOST_TEST(response.find("Retry-After") != std::string::npos);
  BOOST_TEST(response.find("seal-") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(gets_502_if_its_response_is_lost) {
  Start("desk", 2, [](const std::string&, const std::string&, int) {
    return Reply{"", false, true};
  });
  BOOST_TEST(HasStatus(Send("/order/", "id-1"), "502"));
  BOOST_TEST(requests_received() == 1u);
}

BOOST_AUTO_TEST_CASE(gets_502_if_its_response_is_truncated) {
  Start("desk", 2, [](const std::string&, const std::string& id, int) {
    std::string response = MakeResponse(id, "a long answer");
    response.resize(response.size() - 4);
    return Reply{response, true};
  });
  const std::string response = Send("/order/", "id-1");
  BOOST_TEST(HasStatus(response, "502"));
  BOOST_TEST(response.find("a long") == std::string::npos);
  BOOST_TEST(requests_received() == 1u);
}

BOOST_AUTO_TEST_CASE(gets_the_endpoints_error_response_with_its_headers) {
  Start("desk", 2, [](const std::string&, const std::string& id, int) {
    return Reply{MakeResponse(id, "no", "500 Error")};
  });
  const std::string response = Send("/order/", "id-1");
  BOOST_TEST(HasStatus(response, "500"));
  BOOST_TEST(response.find("seal-id-1") != std::string::npos);
  BOOST_TEST(requests_received() == 1u);
}

BOOST_AUTO_TEST_CASE(gets_504_at_its_deadline) {
  Start("desk", 1,
        [](const std::string&, const std::string&, int) { return Reply{}; });
  const std::string response =
      harness.Exchange(MakeRequest("POST", "/order/", "id-1", "body",
                                   Field(platform::kDeadline, "150")),
                       IsComplete);
  BOOST_TEST(HasStatus(response, "504"));
  BOOST_TEST(endpoints[0]->abandoned() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_unrelated_response, EndpointResponseFixture)

BOOST_AUTO_TEST_CASE(is_skipped_if_it_precedes_the_expected_one) {
  Start("desk", 1, [](const std::string&, const std::string& id, int number) {
    const std::string stray =
        number == 1 ? MakeResponse("id-old", "not yours") : "";
    return Reply{stray + MakeResponse(id, "yours")};
  });
  Send("/order/", "id-1");
  const std::string response = Send("/order/", "id-2");
  BOOST_TEST(response.find("\r\n\r\nyours") != std::string::npos);
  BOOST_TEST(response.find("seal-id-2") != std::string::npos);
}

// Shows that a second copy of an earlier refusal is not taken for a statement
// on the request that is sent next, which the endpoint runs.
BOOST_AUTO_TEST_CASE(is_skipped_if_it_refuses_an_earlier_request) {
  for (const std::string& stray_id : {std::string("id-0"), std::string()}) {
    const std::string refusal =
        stray_id.empty()
            ? "HTTP/1.1 503 Busy\r\n" + kNotRun + "Content-Length: 0\r\n\r\n"
            : MakeResponse(stray_id, "", "503 Busy", kNotRun);
    test::ScriptedEndpointsFixture fixture;
    fixture.Start(
        "desk", 1, [&](const std::string&, const std::string& id, int number) {
          return Reply{number == 0 ? MakeResponse(id, "", "503 Busy", kNotRun)
                                   : refusal + MakeResponse(id, "done")};
        });
    const auto send = [&](const std::string& id) {
      return fixture.harness.Exchange(
          MakeRequest("POST", "/order/", id, "body"), IsComplete);
    };
    BOOST_TEST(HasStatus(send("id-0"), "503"));
    BOOST_TEST(HasStatus(send("id-1"), "200"));
    BOOST_TEST(fixture.endpoints[0]->connections() == 1);
    BOOST_TEST(fixture.endpoints[0]->heads().size() == 2u);
  }
}

BOOST_AUTO_TEST_CASE(closes_the_idle_connection_on_which_it_arrives) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return Reply{MakeResponse(id, "yours") +
                 MakeResponse("id-old", "not yours")};
  });
  BOOST_TEST(Send("/order/", "id-1").find("not yours") == std::string::npos);
  harness.RunFor(milliseconds(20));
  BOOST_TEST(Send("/order/", "id-2").find("not yours") == std::string::npos);
  BOOST_TEST(endpoints[0]->connections() == 2);
}

BOOST_AUTO_TEST_CASE(causes_a_502_if_it_is_not_http) {
  Start("desk", 1, [](const std::string&, const std::string&, int) {
    return Reply{"what is this\r\n\r\n", true};
  });
  BOOST_TEST(HasStatus(Send("/order/", "id-1"), "502"));
}

BOOST_AUTO_TEST_SUITE_END()

const std::string kLeaving = test::Field(platform::kServerLeaving, "1");

BOOST_FIXTURE_TEST_SUITE(an_endpoint_that_says_that_it_leaves,
                         EndpointResponseFixture)

BOOST_AUTO_TEST_CASE(gets_no_further_requests) {
  for (const char* status : {"200 OK", "404 Not Found", "500 Error"}) {
    test::ScriptedEndpointsFixture fixture;
    fixture.Start("desk", 2,
                  [&](const std::string&, const std::string& id, int) {
                    return Reply{MakeResponse(id, "done", status, kLeaving)};
                  });
    const auto send = [&](const std::string& id) {
      return fixture.harness.Exchange(
          MakeRequest("POST", "/order/", id, "body"), IsComplete);
    };
    send("id-1");
    send("id-2");
    BOOST_TEST(HasStatus(send("id-3"), "503"));
    BOOST_TEST(fixture.endpoints[0]->heads().size() == 1u);
    BOOST_TEST(fixture.endpoints[1]->heads().size() == 1u);
  }
}

BOOST_AUTO_TEST_CASE(ends_the_stream_whose_head_says_so) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    std::string head = StreamHead(id);
    head.insert(head.size() - 2, kLeaving);
    return Reply{head + EventChunk(1) + EventChunk(2) + kLastChunk};
  });
  const std::string response = Send("/chat/", "id-1");
  BOOST_TEST(response.find("id: 2\n") != std::string::npos);
  BOOST_TEST(IsComplete(response));
  BOOST_TEST(HasStatus(Send("/chat/", "id-2"), "503"));
  BOOST_TEST(requests_received() == 1u);
}

BOOST_AUTO_TEST_CASE(is_not_meant_if_another_one_uses_its_address) {
  Start("desk", 1, [](const std::string&, const std::string& id, int number) {
    return Reply{number == 0 ? MakeResponse(id, "", "421 Other", kLeaving)
                             : MakeResponse(id, "done")};
  });
  Send("/order/", "id-1");
  harness.RunFor(milliseconds(1'200));
  BOOST_TEST(HasStatus(Send("/order/", "id-2"), "200"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_endpoint_that_asks_for_a_pause,
                         EndpointResponseFixture)

BOOST_AUTO_TEST_CASE(gets_no_requests_in_it_and_the_callers_are_told_so) {
  Start("desk", 2, [](const std::string&, const std::string& id, int number) {
    return Reply{number == 0 ? MakeResponse(id, "", "503 Busy",
                                            kNotRun + "Retry-After: 0.4\r\n")
                             : MakeResponse(id, "done")};
  });
  const std::string refusal = Send("/order/", "id-1");
  BOOST_TEST(HasStatus(refusal, "503"));
  BOOST_TEST(refusal.find("endpoints-paused") != std::string::npos);
  BOOST_TEST(refusal.find("Retry-After: 0.") != std::string::npos);
  BOOST_TEST(requests_received() == 2u);
  BOOST_TEST(HasStatus(Send("/order/", "id-2"), "503"));
  BOOST_TEST(requests_received() == 2u);
  harness.RunFor(milliseconds(450));
  BOOST_TEST(HasStatus(Send("/order/", "id-3"), "200"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_response_without_a_length, EndpointResponseFixture)

BOOST_AUTO_TEST_CASE(is_complete_if_the_endpoint_closes_the_connection) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return Reply{"HTTP/1.1 200 OK\r\n" + Field(platform::kRequestId, id) +
                     "\r\nto the end",
                 true};
  });
  const std::string response = Send("/order/", "id-1");
  BOOST_TEST(HasStatus(response, "200"));
  BOOST_TEST(response.find("to the end") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(is_incomplete_if_the_connection_is_reset) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return Reply{
        "HTTP/1.1 200 OK\r\n" + Field(platform::kRequestId, id) + "\r\nto the",
        false, true};
  });
  const std::string response = Send("/order/", "id-1");
  BOOST_TEST_CONTEXT(response)
  BOOST_TEST(HasStatus(response, "502"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_response_before_the_body_is_read,
                         EndpointResponseFixture)

BOOST_AUTO_TEST_CASE(is_forwarded_and_its_connection_not_reused) {
  Start("desk", 1, [](const std::string&, const std::string& id, int number) {
    return number == 0 ? Reply{MakeResponse(id, "too long", "413 Too Large"),
                               false, false, false}
                       : Reply{MakeResponse(id, "done")};
  });
  // Larger than the socket buffers of the connection.
  const std::string body(8'000'000, 'x');
  const std::string response = harness.Exchange(
      MakeRequest("POST", "/order/", "id-1", body), IsComplete);
  BOOST_TEST(HasStatus(response, "413"));
  BOOST_TEST(HasStatus(Send("/order/", "id-2"), "200"));
  BOOST_TEST(endpoints[0]->connections() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_stream, EndpointResponseFixture)

BOOST_AUTO_TEST_CASE(
    that_breaks_inside_an_event_is_resumed_at_another_endpoint) {
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
  const std::string response = Send("/chat/", "id-1");
  BOOST_TEST(IsComplete(response));
  size_t last = 0;
  for (const char* event : {"id: 1\n", "id: 2\n", "id: 3\n", "id: 4\n"}) {
    const size_t at = response.find(event);
    BOOST_TEST(at != std::string::npos);
    BOOST_TEST(at > last);
    BOOST_TEST(response.find(event, at + 1) == std::string::npos);
    last = at;
  }
}

// Guards against the text of an error in the middle of a stream: an endpoint
// that was to resume it responded with a status below 500, and the response was
// written into the stream.
BOOST_AUTO_TEST_CASE(that_another_endpoint_does_not_resume_is_left_incomplete) {
  struct Answer {
    std::string status;
    std::string body;
  };
  const Answer answers[] = {{"404 Not Found", "no such chat"},
                            {"400 Bad Request", ""},
                            {"302 Found", "elsewhere"},
                            {"200 OK", "not a stream"},
                            {"204 No Content", ""},
                            {"500 Error", "failed"}};
  for (const Answer& answer : answers) {
    test::ScriptedEndpointsFixture fixture;
    int seen = 0;
    fixture.Start(
        "pool", 2, [&](const std::string&, const std::string& id, int) {
          return seen++ == 0
                     ? Reply{StreamHead(id) + EventChunk(1), false, true}
                     : Reply{MakeResponse(id, answer.body, answer.status)};
        });
    const std::string response =
        fixture.harness.Exchange(MakeRequest("POST", "/chat/", "id-1", "body"),
                                 [](const std::string&) { return false; });
    BOOST_TEST_CONTEXT(answer.status << ": " << response) {
      BOOST_TEST(seen == 2);
      BOOST_TEST(response.ends_with(EventChunk(1)));
      BOOST_TEST(fixture.harness.last_failure() ==
                 asio::error::connection_reset);
    }
  }
}

BOOST_AUTO_TEST_CASE(that_cannot_be_resumed_is_left_incomplete) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return Reply{StreamHead(id) + EventChunk(1), false, true};
  });
  const std::string response = Send("/chat/", "id-1");
  BOOST_TEST(response.find("id: 1\n") != std::string::npos);
  BOOST_TEST(!IsComplete(response));
}

BOOST_AUTO_TEST_CASE(
    that_breaks_is_reset_for_a_caller_without_chunked_encoding) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return Reply{StreamHead(id) + EventChunk(1), false, true};
  });
  std::string request = MakeRequest("POST", "/chat/", "id-1", "body");
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  const std::string response =
      harness.Exchange(request, [](const std::string&) { return false; });
  BOOST_TEST(response.find("id: 1\n") != std::string::npos);
  BOOST_TEST((harness.last_failure() == asio::error::connection_reset));
}

BOOST_AUTO_TEST_CASE(whose_engine_is_silent_starts_at_another_engine) {
  int seen = 0;
  Start("pool", 2, [&](const std::string&, const std::string& id, int) {
    return seen++ == 0 ? Reply{}
                       : Reply{StreamHead(id) + EventChunk(1) + kLastChunk};
  });
  BOOST_TEST(IsComplete(Send("/chat/", "id-1")));
  BOOST_TEST(requests_received() == 2u);
  BOOST_TEST(endpoints[0]->abandoned() + endpoints[1]->abandoned() == 1);
}

BOOST_AUTO_TEST_CASE(whose_caller_disconnects_is_cancelled) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return Reply{StreamHead(id) + EventChunk(1)};
  });
  harness.SendAndDisconnect(MakeRequest("POST", "/chat/", "id-1", "body"),
                            milliseconds(50));
  harness.RunFor(milliseconds(50));
  BOOST_TEST(endpoints[0]->abandoned() == 1);
  BOOST_TEST(harness.state().requests_in_progress == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
