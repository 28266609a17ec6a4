#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::Chunk;
using test::Field;
using test::IsComplete;
using test::kLastChunk;
using test::MakeRequest;
using test::MakeResponse;
using test::StreamHead;
using Reply = test::ScriptedEndpoint::Reply;

// Smaller than a response, so that its end is still in the gateway's kernel
// when the gateway has written it.
constexpr int kReceiveBufferBytes = 4 * 1024;
constexpr size_t kReadBytes = 2'048;
constexpr Duration kReadPause = milliseconds(2);
constexpr Duration kTimeout = std::chrono::seconds(5);
// Later than the gateway accepts connections, and well before it exits.
constexpr Duration kTimeSinceSignal = std::chrono::seconds(3);
constexpr size_t kEvents = 20;
constexpr size_t kEventBytes = 4'096;

std::string LongEvents() {
  std::string events;
  for (size_t i = 1; i <= kEvents; ++i) {
    events += Chunk("id: " + std::to_string(i) +
                    "\ndata: " + std::string(kEventBytes, 'x') + "\n\n");
  }
  return events + kLastChunk;
}

// Callers that read slowly and send more while a response is on its way.
struct SlowCallerFixture : test::ScriptedEndpointsFixture {
  SlowCallerFixture() {
    Start("pool", 1, [](const std::string&, const std::string& id, int) {
      return Reply{.bytes = StreamHead(id) + LongEvents()};
    });
    Start("desk", 1, [](const std::string&, const std::string& id, int) {
      return Reply{MakeResponse(id, std::string(kEvents * kEventBytes, 'x'))};
    });
  }

  // Sends `first`, and `second` once the response to it has begun. Returns what
  // the caller gets until the connection ends.
  std::string Exchange(const std::string& first, const std::string& second) {
    std::string received;
    asio::co_spawn(
        harness.io(),
        [&]() -> asio::awaitable<void> {
          tcp::socket socket(harness.io(), tcp::v4());
          socket.set_option(
              asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
          const SocketAddress& to = harness.state().settings().front_listen();
          co_await socket.async_connect(
              {asio::ip::make_address(to.host), to.port}, kAsTuple);
          co_await asio::async_write(socket, asio::buffer(first), kAsTuple);
          co_await Read(socket, &received);
          asio::steady_timer pause(harness.io(), second_after);
          co_await pause.async_wait(kAsTuple);
          co_await asio::async_write(socket, asio::buffer(second), kAsTuple);
          while (co_await Read(socket, &received)) {
          }
          harness.io().stop();
        },
        asio::detached);
    harness.RunFor(kTimeout);
    return received;
  }

  void RunLater(Duration after, std::function<void()> action) {
    asio::co_spawn(
        harness.io(),
        [this, after, action]() -> asio::awaitable<void> {
          asio::steady_timer timer(harness.io(), after);
          co_await timer.async_wait(kAsTuple);
          action();
        },
        asio::detached);
  }

  // Returns false once the connection has ended.
  asio::awaitable<bool> Read(tcp::socket& socket, std::string* received) {
    asio::steady_timer pause(harness.io(), kReadPause);
    co_await pause.async_wait(kAsTuple);
    std::string part(kReadBytes, '\0');
    auto [failure, count] =
        co_await socket.async_read_some(asio::buffer(part), kAsTuple);
    received->append(part, 0, count);
    end = failure;
    co_return !failure;
  }

  void CheckWhole(const std::string& response) {
    BOOST_TEST(response.find("200 OK") != std::string::npos);
    BOOST_TEST(response.size() > kEvents * kEventBytes);
    BOOST_TEST(IsComplete(response));
    BOOST_TEST(end == asio::error::eof);
  }

  // Until `second` is sent after the response to `first` has begun.
  Duration second_after = Duration::zero();
  boost::system::error_code end;
};

const std::string kClose = Field("Connection", "close");
const std::string kOrder = MakeRequest("POST", "/order/", "id-2", "body");

// Guards against responses that are lost although the gateway has written them:
// it closed the connection while the caller had sent more than was read, and
// the kernel then reset it.
BOOST_FIXTURE_TEST_SUITE(a_caller_that_sends_more_while_a_response_arrives,
                         SlowCallerFixture)

BOOST_AUTO_TEST_SUITE(on_a_connection_that_it_asked_to_close)

BOOST_AUTO_TEST_CASE(gets_the_whole_stream) {
  CheckWhole(
      Exchange(MakeRequest("POST", "/chat/", "id-1", "q", kClose), kOrder));
}

BOOST_AUTO_TEST_CASE(gets_the_whole_response_with_a_length) {
  CheckWhole(
      Exchange(MakeRequest("POST", "/order/", "id-1", "q", kClose), kOrder));
}

BOOST_AUTO_TEST_CASE(gets_a_refusal_of_a_request_that_was_read) {
  const std::string response =
      Exchange(MakeRequest("POST", "/unknown/", "id-1", "q", kClose), kOrder);
  BOOST_TEST(response.find("HTTP/1.1 404") == 0u);
  BOOST_TEST(IsComplete(response));
  BOOST_TEST(end == asio::error::eof);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(on_a_connection_of_http_1_0)

BOOST_AUTO_TEST_CASE(gets_the_whole_stream) {
  std::string request = MakeRequest("POST", "/chat/", "id-1", "q");
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  const std::string response = Exchange(request, kOrder);
  const std::string last_id = "id: " + std::to_string(kEvents) + "\n";
  BOOST_TEST(response.find(last_id) != std::string::npos);
  BOOST_TEST(response.ends_with("\n\n"));
  BOOST_TEST(end == asio::error::eof);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(to_a_gateway_that_leaves)

BOOST_AUTO_TEST_CASE(gets_the_whole_stream) {
  harness.state().BeginLeaving(harness.state().Now());
  CheckWhole(Exchange(MakeRequest("POST", "/chat/", "id-1", "q"), kOrder));
}

BOOST_AUTO_TEST_CASE(gets_the_whole_response_on_a_connection_closed_as_idle) {
  RunLater(milliseconds(30), [this] {
    harness.state().BeginLeaving(harness.state().Now() - kTimeSinceSignal);
    harness.front().StopAccepting();
  });
  second_after = milliseconds(60);
  CheckWhole(Exchange(MakeRequest("POST", "/order/", "id-1", "q"), kOrder));
}

BOOST_AUTO_TEST_CASE(does_not_run_what_it_has_sent_after_the_last_response) {
  harness.state().BeginLeaving(harness.state().Now());
  Exchange(MakeRequest("POST", "/chat/", "id-1", "q"), kOrder);
  BOOST_TEST(endpoints.back()->heads().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
