#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"
#include "teaselthread/requests/endpoint_attempt.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::kLastChunk;
using test::StreamHead;
using Reply = test::ScriptedEndpoint::Reply;

constexpr Duration kSettleTime = milliseconds(50);
const std::string kEngine = "pool-0";

// An attempt whose stream has ended at the engine while the caller, which does
// not read, still has to be sent its end.
struct StreamEndFixture : test::ScriptedEndpointsFixture {
  StreamEndFixture()
      : caller(harness.io()),
        front(harness.io()),
        guard(std::make_shared<RequestGuard>(
            &front,
            RequestGuard::Clock::now() + seconds(10))),
        writer(&front, {.stream = {&harness.state().buffers(), "office", 1}}),
        relay(&writer),
        attempts(true, 1) {
    Start("pool", 1, [](const std::string&, const std::string& id, int) {
      return Reply{StreamHead(id) + kLastChunk};
    });
    ConnectCaller();
    FillSendBuffer();
    guard->Start();
    asio::co_spawn(harness.io(), Run(), asio::detached);
    harness.RunFor(kSettleTime);
  }

  ~StreamEndFixture() {
    guard->Finish();
    harness.RunFor(kSettleTime);
  }

  void ConnectCaller() {
    tcp::acceptor acceptor(harness.io(),
                           {asio::ip::make_address("127.0.0.1"), 0});
    caller.connect(acceptor.local_endpoint());
    acceptor.accept(front);
  }

  void FillSendBuffer() {
    front.non_blocking(true);
    const std::string bytes(65'536, 'x');
    boost::system::error_code failure;
    while (!failure)
      front.write_some(asio::buffer(bytes), failure);
  }

  asio::awaitable<void> Run() {
    auto request =
        std::make_shared<EndpointHttpRequest>(http::verb::post, "/chat/", 11);
    request->set(http::field::host, "shop.example");
    request->set(std::string(platform::kRequestId), "id-1");
    request->prepare_payload();
    const EndpointPtr engine =
        harness.state().endpoints().Running("pool").front();
    EndpointAttempt attempt(&harness.state(), &connections, engine, guard.get(),
                            &attempts);
    const ResponseTimeouts limits{seconds(5), seconds(5), seconds(5)};
    EndpointAttempt::SilenceHandlers on_silence;
    on_silence.on_health_timeout = [] {};
    attempts.OnStart(kEngine);
    co_await attempt.Run(request, "id-1", limits, &relay, on_silence);
    ended = true;
  }

  // Reads from a connection that another request would use now.
  void ReadFrom(EndpointConnection& connection) {
    connection.socket.async_read_some(
        asio::buffer(&byte, 1), [this](const boost::system::error_code& failure,
                                       size_t) { read_failure = failure; });
  }

  tcp::socket caller;
  tcp::socket front;
  std::shared_ptr<RequestGuard> guard;
  ResponseWriter writer;
  StreamRelay relay;
  RequestAttempts attempts;
  EndpointConnections connections;
  bool ended = false;
  char byte = 0;
  boost::system::error_code read_failure;
};

BOOST_FIXTURE_TEST_SUITE(a_caller_that_leaves_as_its_stream_ends,
                         StreamEndFixture)

// Guards against a crash: the guard of the request went on to use the
// connection to the engine after it had been returned to the pool, which
// destroys it if it is full, and otherwise gives it to another request.
BOOST_AUTO_TEST_CASE(does_not_disturb_the_next_user_of_the_connection) {
  const EndpointConnectionPtr next = connections.Take(kEngine);
  BOOST_REQUIRE(next);
  BOOST_REQUIRE(!ended);
  ReadFrom(*next);
  caller.shutdown(tcp::socket::shutdown_send);
  harness.RunFor(kSettleTime);
  BOOST_TEST((guard->interruption() == AttemptFailure::kCallerGone));
  BOOST_TEST(!read_failure);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
