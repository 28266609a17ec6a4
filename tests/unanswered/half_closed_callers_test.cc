#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::MakeRequest;
using test::MakeResponse;
using Reply = test::ScriptedEndpoint::Reply;

constexpr Duration kSettleTime = milliseconds(50);
constexpr Duration kWorkTime = milliseconds(300);

BOOST_FIXTURE_TEST_SUITE(a_caller_that_closes_its_side_after_its_request,
                         test::ScriptedEndpointsFixture)

// Guards against endpoints that work on for callers that have left: a close and
// a close of one direction cannot be told apart before something is written.
BOOST_AUTO_TEST_CASE(counts_as_gone) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    const std::string response = MakeResponse(id, "done");
    return Reply{.bytes = response.substr(0, 12),
                 .pause = kWorkTime,
                 .rest = response.substr(12)};
  });
  tcp::socket caller(harness.io());
  const SocketAddress& address = harness.state().settings().front_listen();
  caller.connect({asio::ip::make_address(address.host), address.port});
  asio::write(caller, asio::buffer(MakeRequest("GET", "/order/", "id-1")));
  harness.RunFor(kSettleTime);
  BOOST_REQUIRE(harness.state().requests_in_progress == 1u);
  caller.shutdown(tcp::socket::shutdown_send);
  harness.RunFor(kSettleTime);
  BOOST_TEST(harness.state().requests_in_progress == 0u);
  char byte = 0;
  boost::system::error_code failure;
  caller.read_some(asio::buffer(&byte, 1), failure);
  BOOST_TEST(failure == asio::error::connection_reset);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
