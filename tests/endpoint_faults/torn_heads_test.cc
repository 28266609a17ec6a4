#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using test::EventChunk;
using test::Field;
using test::HasStatus;
using test::IsComplete;
using test::MakeRequest;
using test::StreamHead;
using Reply = test::ScriptedEndpoint::Reply;

enum class Ending { kClosed, kReset };

// Heads of a response 200 up to where the endpoint stops.
std::vector<std::string> TornHeads(const std::string& id) {
  const std::string start =
      "HTTP/1.1 200 OK\r\n" + Field(platform::kRequestId, id);
  const std::string plain = start + "X-Seal: seal\r\nContent-Length: 4\r\n";
  const std::string empty = start + "X-Seal: seal\r\nContent-Length: 0\r\n";
  const std::string chunked =
      start + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
  return {"HTTP/1.1 2",
          "HTTP/1.1 200",
          "HTTP/1.1 200 OK",
          "HTTP/1.1 200 OK\r\n",
          "HTTP/1.0 200 OK\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
          start + "X-Se",
          start + "X-Seal: se",
          start + "X-Seal: seal\r",
          start + "X-Seal: seal\r\n",
          start + "Content-Length:",
          start + "Content-Length: 4",
          plain,
          plain + "\r",
          empty,
          empty + "\r",
          chunked,
          chunked + "\r\n",
          chunked + "\r\n\r"};
}

// Endpoints that stop inside the head of their response.
struct TornHeadFixture : test::ScriptedEndpointsFixture {
  TornHeadFixture(std::string path, size_t torn_head, Ending ending)
      : path(std::move(path)) {
    const std::string service = test::ServiceOf(this->path);
    Start(service, 2,
          [=, this](const std::string&, const std::string& id, int) {
            if (!is_torn)
              return Reply{test::WholeResponse(service, id)};
            return Reply{TornHeads(id)[torn_head], ending == Ending::kClosed,
                         ending == Ending::kReset};
          });
  }
  std::string Send(const std::string& id) {
    return harness.Exchange(MakeRequest("POST", path, id, "body"), IsComplete);
  }
  int Runs(const std::string& id) const {
    const std::string field = Field(platform::kRequestId, id);
    int runs = 0;
    for (const auto& endpoint : endpoints) {
      runs += static_cast<int>(std::ranges::count_if(
          endpoint->heads(), [&](const std::string& head) {
            return head.find(field) != std::string::npos;
          }));
    }
    return runs;
  }

  std::string path;
  bool is_torn = true;
};

void CheckCallerGetsAnError(TornHeadFixture& fixture, bool on_kept_connection) {
  const int most_runs = fixture.path == "/order/" ? 1 : 2;
  fixture.is_torn = !on_kept_connection;
  if (on_kept_connection) {
    BOOST_TEST(HasStatus(fixture.Send("id-0"), "200"));
    BOOST_TEST(HasStatus(fixture.Send("id-00"), "200"));
  }
  fixture.is_torn = true;
  const std::string response = fixture.Send("id-1");
  BOOST_TEST(HasStatus(response, "502"), response);
  BOOST_TEST(IsComplete(response));
  BOOST_TEST(response.find("seal") == std::string::npos);
  BOOST_TEST(fixture.Runs("id-1") >= 1);
  fixture.is_torn = false;
  BOOST_TEST(HasStatus(fixture.Send("id-2"), "200"));
  BOOST_TEST(fixture.Runs("id-1") <= most_runs);
}

void CheckCallersGetAnError(Ending ending, bool on_kept_connection) {
  for (const char* path : {"/order/", "/list/", "/chat/"}) {
    for (size_t i = 0; i < TornHeads("").size(); ++i) {
      BOOST_TEST_CONTEXT(path << " after " << TornHeads("id-1")[i]) {
        TornHeadFixture fixture(path, i, ending);
        CheckCallerGetsAnError(fixture, on_kept_connection);
      }
    }
  }
}

// Guards against a 200 with an empty or short body, framed as whole, for a
// response of which only a part of the head arrived.
BOOST_AUTO_TEST_SUITE(a_response_that_breaks_off_in_its_head)

BOOST_AUTO_TEST_CASE(is_an_error_on_a_new_connection) {
  CheckCallersGetAnError(Ending::kClosed, false);
  CheckCallersGetAnError(Ending::kReset, false);
}

BOOST_AUTO_TEST_CASE(is_an_error_on_a_kept_connection) {
  CheckCallersGetAnError(Ending::kClosed, true);
  CheckCallersGetAnError(Ending::kReset, true);
}

BOOST_AUTO_TEST_SUITE(of_a_stream_that_it_was_to_resume)

BOOST_AUTO_TEST_CASE(leaves_the_stream_incomplete) {
  for (size_t i = 0; i < TornHeads("").size(); ++i) {
    test::ScriptedEndpointsFixture fixture;
    int seen = 0;
    fixture.Start(
        "pool", 2, [&](const std::string&, const std::string& id, int) {
          return seen++ == 0 ? Reply{StreamHead(id) + EventChunk(1), true}
                             : Reply{TornHeads(id)[i], true};
        });
    const std::string response =
        fixture.harness.Exchange(MakeRequest("POST", "/chat/", "id-1", "body"),
                                 [](const std::string&) { return false; });
    BOOST_TEST_CONTEXT(TornHeads("id-1")[i] << " -> " << response) {
      BOOST_TEST(seen == 2);
      BOOST_TEST(response.ends_with(EventChunk(1)));
      BOOST_TEST(fixture.harness.last_failure() ==
                 asio::error::connection_reset);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
