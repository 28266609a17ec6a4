#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::EventChunk;
using test::Field;
using test::IsComplete;
using test::kLastChunk;
using test::MakeRequest;
using test::MakeResponse;
using test::StreamHead;
using Reply = test::ScriptedEndpoint::Reply;

constexpr Duration kStreamPause = milliseconds(100);
// Later than the gateway accepts connections, and well before it exits.
constexpr Duration kTimeSinceSignal = seconds(3);

// A gateway that is told to leave while it relays a stream, whose response head
// has kept the connection open.
struct LeavingFixture : test::ScriptedEndpointsFixture {
  LeavingFixture() {
    Start("pool", 1, [](const std::string&, const std::string& id, int) {
      return Reply{.bytes = StreamHead(id) + EventChunk(1),
                   .pause = kStreamPause,
                   .rest = EventChunk(2) + kLastChunk};
    });
    Start("desk", 1, [](const std::string&, const std::string& id, int) {
      return Reply{MakeResponse(id, "done")};
    });
  }

  // Sends the bytes, and makes the gateway leave in the middle of the stream.
  std::string SendAndLeave(const std::string& bytes) {
    asio::co_spawn(
        harness.io(),
        [this]() -> asio::awaitable<void> {
          asio::steady_timer timer(harness.io(), kStreamPause / 2);
          co_await timer.async_wait(kAsTuple);
          harness.state().BeginLeaving(harness.state().Now() -
                                       kTimeSinceSignal);
        },
        asio::detached);
    return harness.Exchange(bytes, [](const std::string&) { return false; });
  }

  const std::vector<std::string>& orders() const {
    return endpoints.back()->heads();
  }
};

const std::string kStreamRequest = MakeRequest("POST", "/chat/", "id-1", "q");

std::string Order(const std::string& deadline_ms) {
  return MakeRequest("POST", "/order/", "id-2", "body",
                     Field(platform::kDeadline, deadline_ms));
}

// Guards against requests that are cut off by the exit of the process. They
// came on connections that had become idle during the shutdown, and the gateway
// kept these open and passed the requests on.
BOOST_FIXTURE_TEST_SUITE(a_connection_whose_stream_ends_during_a_shutdown,
                         LeavingFixture)

BOOST_AUTO_TEST_CASE(is_closed_after_the_whole_stream) {
  const std::string response = SendAndLeave(kStreamRequest);
  BOOST_TEST(response.find("id: 2\n") != std::string::npos);
  BOOST_TEST(IsComplete(response));
  BOOST_TEST(harness.last_failure() == asio::error::eof);
}

BOOST_AUTO_TEST_SUITE(with_a_request_that_may_outlast_the_process)

BOOST_AUTO_TEST_CASE(is_closed_after_a_refusal_and_the_request_not_passed_on) {
  const std::string response = SendAndLeave(kStreamRequest + Order("10000"));
  const size_t refusal = response.find("HTTP/1.1 503");
  BOOST_REQUIRE(refusal != std::string::npos);
  BOOST_TEST(response.find("leaving", refusal) != std::string::npos);
  BOOST_TEST(response.find("Retry-After", refusal) != std::string::npos);
  BOOST_TEST(response.find("Connection: close", refusal) != std::string::npos);
  BOOST_TEST(orders().empty());
  BOOST_TEST(harness.last_failure() == asio::error::eof);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_request_that_ends_before_the_process)

BOOST_AUTO_TEST_CASE(is_closed_after_its_response) {
  const std::string response = SendAndLeave(kStreamRequest + Order("1500"));
  const size_t answer = response.find("HTTP/1.1 200 OK", 1);
  BOOST_REQUIRE(answer != std::string::npos);
  BOOST_TEST(response.find("Connection: close", answer) != std::string::npos);
  BOOST_TEST(orders().size() == 1u);
  BOOST_TEST(harness.last_failure() == asio::error::eof);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_response_that_begins_during_a_shutdown,
                         test::ScriptedEndpointsFixture)

BOOST_AUTO_TEST_CASE(closes_the_connection_of_a_request_read_before_it) {
  Start("desk", 1, [this](const std::string&, const std::string& id, int) {
    harness.state().BeginLeaving(harness.state().Now());
    return Reply{MakeResponse(id, "done")};
  });
  const std::string response = harness.Exchange(
      MakeRequest("POST", "/order/", "id-1", "body"), IsComplete);
  BOOST_TEST(response.find("200 OK") != std::string::npos);
  BOOST_TEST(response.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
