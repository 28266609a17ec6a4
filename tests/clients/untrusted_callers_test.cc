#include <boost/test/unit_test.hpp>

#include <array>

#include "gateway/gateway_harness.h"
#include "teaselthread/gateway/stream_output.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::Chunk;
using test::HasStatus;
using test::IsComplete;
using test::MakeRequest;
using test::ScriptedEndpoint;

constexpr size_t kReadAhead = size_t{256} * 1024;
constexpr Duration kSettleTime = milliseconds(50);

struct UntrustedCallersFixture : test::ScriptedEndpointsFixture {
  UntrustedCallersFixture() {
    Start("desk", 1, [](const std::string&, const std::string& id, int) {
      return ScriptedEndpoint::Reply{test::MakeResponse(id, "done")};
    });
  }

  std::string Send(const std::string& request) {
    return harness.Exchange(request, IsComplete);
  }
  tcp::socket ConnectAndSend(const std::string& bytes) {
    tcp::socket socket(harness.io());
    const SocketAddress& address = harness.state().settings().front_listen();
    socket.connect({asio::ip::make_address(address.host), address.port});
    asio::write(socket, asio::buffer(bytes));
    return socket;
  }
};

BOOST_FIXTURE_TEST_SUITE(a_gateway_with_untrusted_callers,
                         UntrustedCallersFixture)

// Guards against memory that is held for bodies that never come: 44 announced
// bodies of 1 MiB filled the quota, and ordinary requests were refused.
BOOST_AUTO_TEST_CASE(holds_no_memory_for_bodies_that_are_only_announced) {
  std::vector<tcp::socket> crowd;
  for (int i = 0; i < 100; ++i) {
    std::string head = MakeRequest("POST", "/order/", std::to_string(i));
    head.insert(head.size() - 2, "Content-Length: 1000000\r\n");
    crowd.push_back(ConnectAndSend(head));
  }
  harness.RunFor(kSettleTime);
  BOOST_TEST(harness.state().buffers().used() < 100'000u);
  const std::string body(12'000, 'x');
  BOOST_TEST(
      HasStatus(Send(MakeRequest("POST", "/order/", "ordinary", body)), "200"));
}

BOOST_AUTO_TEST_CASE(serves_a_body_in_chunks_of_one_byte) {
  std::string request = MakeRequest("POST", "/order/", "id-1", "",
                                    "Transfer-Encoding: chunked\r\n");
  for (int i = 0; i < 50'000; ++i)
    request += Chunk("x");
  BOOST_TEST(HasStatus(Send(request + test::kLastChunk), "200"));
  BOOST_REQUIRE(endpoints[0]->heads().size() == 1u);
  BOOST_TEST(endpoints[0]->heads()[0].find("Content-Length: 50000") !=
             std::string::npos);
}

// Guards against work without an end for a body that never grows.
BOOST_AUTO_TEST_CASE(refuses_a_body_that_is_nearly_all_framing) {
  std::string request = MakeRequest("POST", "/order/", "id-1", "",
                                    "Transfer-Encoding: chunked\r\n");
  for (int i = 0; i < 60; ++i)
    request += "1;e=" + std::string(2'000, 'e') + "\r\nx\r\n";
  const std::string response = Send(request);
  BOOST_TEST(HasStatus(response, "400"));
  BOOST_TEST(response.find("excessive-framing") != std::string::npos);
  BOOST_TEST(endpoints[0]->heads().empty());
}

BOOST_AUTO_TEST_SUITE_END()

// A connection whose receiver does not read, with a full send buffer.
struct UnreadStreamFixture {
  UnreadStreamFixture() : sender(io), receiver(io), quota(kReadAhead * 4) {
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    receiver.connect(acceptor.local_endpoint());
    acceptor.accept(sender);
    sender.non_blocking(true);
    const std::string bytes(65'536, 'x');
    boost::system::error_code failure;
    while (!failure)
      filled += sender.write_some(asio::buffer(bytes), failure);
    output = std::make_shared<StreamOutput>(
        &sender, StreamOutput::Options{&quota, "office", kReadAhead,
                                       [this] { is_reclaimed = true; }});
  }
  ~UnreadStreamFixture() { output->Detach(); }

  // Writes `bytes`; returns whether the writer was not paused.
  bool Write(size_t bytes) {
    writer_ended = false;
    asio::co_spawn(
        io,
        [this, bytes]() -> asio::awaitable<void> {
          std::string text(bytes, 'y');
          succeeded = co_await output->Write(std::move(text));
          writer_ended = true;
        },
        asio::detached);
    Run();
    return writer_ended;
  }
  void Run() {
    io.restart();
    io.run_for(kSettleTime);
  }
  void ReadAll() {
    std::array<char, 65'536> part{};
    boost::system::error_code failure;
    receiver.non_blocking(true);
    do {
      received += receiver.read_some(asio::buffer(part), failure);
      io.poll();
    } while (!failure);
  }

  asio::io_context io;
  tcp::socket sender;
  tcp::socket receiver;
  BufferQuota quota;
  std::shared_ptr<StreamOutput> output;
  size_t filled = 0;
  size_t received = 0;
  bool writer_ended = false;
  bool succeeded = false;
  bool is_reclaimed = false;
};

BOOST_FIXTURE_TEST_SUITE(a_stream_that_its_caller_does_not_read,
                         UnreadStreamFixture)

// Guards against slow callers that keep the gateway from reading a stream:
// endpoints cut off responses that are not read for some seconds.
BOOST_AUTO_TEST_CASE(is_read_ahead_up_to_a_bound) {
  BOOST_TEST(Write(kReadAhead / 2));
  BOOST_TEST(Write(kReadAhead / 2));
  BOOST_TEST(quota.used() == kReadAhead);
  BOOST_TEST(!Write(1));
  for (int i = 0; i < 100 && received < filled + kReadAhead + 1; ++i) {
    ReadAll();
    Run();
  }
  BOOST_TEST(writer_ended);
  BOOST_TEST(succeeded);
  BOOST_TEST(received == filled + kReadAhead + 1);
  BOOST_TEST(quota.used() == 0u);
}

BOOST_AUTO_TEST_CASE(is_paused_at_once_while_memory_is_short) {
  BufferQuota::Reservation others(&quota);
  BOOST_REQUIRE(others.Grow(quota.limit()));
  BOOST_TEST(!Write(1));
  BOOST_TEST(quota.used() == quota.limit());
}

BOOST_AUTO_TEST_CASE(is_reset_if_others_need_its_memory) {
  Timestamp now{std::chrono::seconds(100)};
  quota = BufferQuota(kReadAhead * 4, [&now] { return now; });
  output->Detach();
  output = std::make_shared<StreamOutput>(
      &sender, StreamOutput::Options{&quota, "office", kReadAhead,
                                     [this] { is_reclaimed = true; }});
  BOOST_TEST(Write(kReadAhead));
  now += std::chrono::seconds(3);
  BufferQuota::Reservation others(&quota);
  BOOST_TEST(others.Grow(quota.limit() - quota.reserve()));
  BOOST_TEST(is_reclaimed);
  BOOST_TEST(Write(1));
  BOOST_TEST(!succeeded);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
