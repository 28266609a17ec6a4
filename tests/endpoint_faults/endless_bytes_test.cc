#include <boost/test/unit_test.hpp>

#include "endpoint_faults/node_call.h"
#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"
#include "teaselthread/http_client.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Chunk;
using test::Field;
using test::HasStatus;
using test::IsComplete;
using test::MakeRequest;
using test::MakeResponse;
using test::StreamHead;
using Reply = test::ScriptedEndpoint::Reply;

constexpr size_t kMegabyte = size_t{1} << 20;
// What the kernel may hold of one loopback connection, on both sides.
constexpr size_t kKernelBytes = 10 * kMegabyte;
// Limits on the bytes of one attempt: head or framing, and a whole response.
constexpr size_t kFramingBytes = kMegabyte;
constexpr size_t kResponseBytes = 16 * kMegabyte;
constexpr auto kDeadline = seconds(2);
constexpr Duration kCallTimeout = seconds(2);
constexpr Duration kSettleTime = milliseconds(50);
constexpr int kCallersMeanwhile = 4;

// Bytes that never become a response. In `begin`, kId stands for the id of the
// request.
struct EndlessBytes {
  std::string begin;
  std::string repeated;
  size_t limit = kFramingBytes;
};

const std::string kId = "{id}";
const std::string kFiller(4'000, 'x');
const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
const std::string kIdLine = Field(platform::kRequestId, kId);

const std::vector<EndlessBytes> kInHead = {
    {"", kFiller},
    {"", std::string(4'000, '\0')},
    {"HTTP/1.1 200 ", kFiller},
    {kStatusLine, kFiller},
    {kStatusLine, "X-Filler: x\r\n"},
    {kStatusLine + kIdLine, "X-Filler: x\r\n"},
    {kStatusLine + "X-Filler: x\r\n", " folded\r\n"},
    {"", "HTTP/1.1 103 Early Hints\r\nX-Filler: " + kFiller + "\r\n\r\n"},
    {"", MakeResponse("id-other", kFiller)},
};

const std::vector<EndlessBytes> kInFraming = {
    {StreamHead(kId), std::string(4'000, '0')},
    {StreamHead(kId) + "5;x=", kFiller},
    {StreamHead(kId) + "5", ";x=y"},
    {StreamHead(kId) + "0\r\nX-Filler: ", kFiller},
    {StreamHead(kId) + "0\r\n", "X-Filler: x\r\n"},
};

const std::vector<EndlessBytes> kInBody = {
    {kStatusLine + kIdLine + "\r\n", kFiller, kResponseBytes},
    {kStatusLine + kIdLine + "Content-Length: 1000000000000000000\r\n\r\n",
     kFiller, kResponseBytes},
    {StreamHead(kId) + "de0b6b3a7640000\r\n", kFiller, kResponseBytes},
    {StreamHead(kId), Chunk(kFiller), kResponseBytes},
    {StreamHead(kId) + Chunk("data: "), Chunk(kFiller), kResponseBytes},
    {StreamHead(kId), Chunk("data: " + kFiller + "\n"), kResponseBytes},
    {StreamHead(kId), Chunk(": " + kFiller + "\n\n"), kResponseBytes},
    {StreamHead(kId), Chunk("id: 1\ndata: " + kFiller + "\n\n"),
     kResponseBytes},
};

std::string WithId(std::string bytes, const std::string& id) {
  const size_t at = bytes.find(kId);
  return at == std::string::npos ? bytes : bytes.replace(at, kId.size(), id);
}

test::ScriptedEndpoint::Script EndlessScript(const EndlessBytes& bytes) {
  return [=](const std::string&, const std::string& id, int) {
    Reply reply{WithId(bytes.begin, id)};
    reply.repeated = bytes.repeated;
    return reply;
  };
}

// A gateway of which one service has a faulty endpoint and the other a sound
// one.
struct EndlessBytesFixture : test::ScriptedEndpointsFixture {
  EndlessBytesFixture(std::string path, EndlessBytes bytes, int whole_responses)
      : faulty_path(std::move(path)),
        sound_path(faulty_path == "/chat/" ? "/order/" : "/chat/") {
    const std::string faulty = faulty_path == "/chat/" ? "pool" : "desk";
    const std::string sound = faulty == "pool" ? "desk" : "pool";
    Start(faulty, 1,
          [=](const std::string& head, const std::string& id, int number) {
            return number < whole_responses
                       ? Reply{test::WholeResponse(faulty, id)}
                       : EndlessScript(bytes)(head, id, number);
          });
    Start(sound, 1, [=](const std::string&, const std::string& id, int) {
      return Reply{test::WholeResponse(sound, id)};
    });
  }

  std::string Send(const std::string& path, const std::string& id) {
    return harness.Exchange(Request(path, id), IsComplete);
  }
  static std::string Request(const std::string& path, const std::string& id) {
    const auto time = std::chrono::duration_cast<milliseconds>(kDeadline);
    return MakeRequest(
        "POST", path, id, "body",
        Field(platform::kDeadline, std::to_string(time.count())));
  }
  // Callers whose responses never end and who stay connected.
  void StartCallers() {
    const SocketAddress& to = harness.state().settings().front_listen();
    for (int i = 0; i < kCallersMeanwhile; ++i) {
      callers.emplace_back(harness.io());
      callers.back().connect({asio::ip::make_address(to.host), to.port});
      const std::string id = "id-open-" + std::to_string(i);
      asio::write(callers.back(), asio::buffer(Request(faulty_path, id)));
    }
  }
  void CheckOthersAreServed() {
    StartCallers();
    const std::string response = Send(sound_path, "id-2");
    BOOST_TEST(HasStatus(response, "200"));
    BOOST_TEST(IsComplete(response));
  }
  void CheckNothingIsKept(size_t limit) {
    callers.clear();
    harness.RunFor(kSettleTime);
    BOOST_TEST(harness.state().requests_in_progress == 0u);
    BOOST_TEST(harness.state().buffers().used() == 0u);
    BOOST_TEST(endpoints[0]->most_repeated_bytes() > 0u);
    BOOST_TEST(endpoints[0]->most_repeated_bytes() <= limit + kKernelBytes);
  }

  std::string faulty_path;
  std::string sound_path;
  std::vector<tcp::socket> callers;
};

using Call = std::function<asio::awaitable<void>(SocketAddress)>;

// Makes calls with a client that is used apart from the gateway's requests.
void CheckCallsEnd(const Call& call) {
  std::vector<EndlessBytes> all = kInHead;
  all.insert(all.end(), kInFraming.begin(), kInFraming.end());
  for (const EndlessBytes& bytes : all) {
    BOOST_TEST_CONTEXT(bytes.begin << " and then " << bytes.repeated) {
      asio::io_context io;
      test::ScriptedEndpoint server(&io, EndlessScript(bytes));
      bool ended = false;
      asio::co_spawn(io, call(server.address()), [&](std::exception_ptr) {
        ended = true;
        io.stop();
      });
      io.run_for(kCallTimeout / 2);
      BOOST_TEST(ended);
      BOOST_TEST(server.most_repeated_bytes() <= bytes.limit + kKernelBytes);
    }
  }
}

void CheckAttemptEnds(EndlessBytesFixture& fixture, const EndlessBytes& bytes) {
  const auto start = std::chrono::steady_clock::now();
  const std::string response = fixture.Send(fixture.faulty_path, "id-1");
  BOOST_TEST((std::chrono::steady_clock::now() - start < kDeadline));
  // A stream whose first event has been relayed is left incomplete.
  BOOST_TEST((HasStatus(response, "502") || !IsComplete(response)),
             response.substr(0, 400));
  fixture.CheckOthersAreServed();
  fixture.CheckNothingIsKept(bytes.limit);
}

void CheckAttemptsEnd(const std::vector<EndlessBytes>& all) {
  for (const EndlessBytes& bytes : all) {
    for (const std::string path : {"/order/", "/list/", "/chat/"}) {
      BOOST_TEST_CONTEXT(path << ": " << bytes.begin << ", "
                              << bytes.repeated) {
        EndlessBytesFixture on_new_connection(path, bytes, 0);
        CheckAttemptEnds(on_new_connection, bytes);
        EndlessBytesFixture on_kept_connection(path, bytes, 1);
        BOOST_TEST(HasStatus(on_kept_connection.Send(path, "id-0"), "200"));
        CheckAttemptEnds(on_kept_connection, bytes);
      }
    }
  }
}

// Guards against gateways that keep all bytes of a faulty endpoint until the
// caller closes, and run out of memory.
BOOST_AUTO_TEST_SUITE(an_endpoint_that_sends_bytes_without_end)

BOOST_AUTO_TEST_SUITE(to_a_gateway_on_a_new_or_a_kept_connection)

BOOST_AUTO_TEST_CASE(in_a_head_does_not_fill_the_memory) {
  CheckAttemptsEnd(kInHead);
}

BOOST_AUTO_TEST_CASE(in_the_framing_does_not_fill_the_memory) {
  CheckAttemptsEnd(kInFraming);
}

BOOST_AUTO_TEST_CASE(in_a_body_does_not_fill_the_memory) {
  CheckAttemptsEnd(kInBody);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(to_another_client_than_a_gateway)

BOOST_AUTO_TEST_CASE(ends_the_call_of_a_node) {
  CheckCallsEnd([](SocketAddress address) -> asio::awaitable<void> {
    EndpointConnectionPool pool;
    co_await test::CallEndpoint(address, &pool, kCallTimeout);
  });
}

BOOST_AUTO_TEST_CASE(ends_a_call_on_a_connection) {
  CheckCallsEnd([](SocketAddress address) -> asio::awaitable<void> {
    std::string no_body;
    co_await HttpCall(address, http::verb::get, "/health", std::move(no_body),
                      kCallTimeout);
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
