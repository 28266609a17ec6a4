#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::EventChunk;
using test::MakeRequest;
using test::StreamHead;
using Reply = test::ScriptedEndpoint::Reply;

// Longer than what decides whether a sender is slow.
constexpr Duration kSlowTime = milliseconds(2'200);
constexpr Duration kSettleTime = milliseconds(50);

// A request without a body that has been read and whose response takes long,
// when others need all memory for bodies.
struct FullBuffersFixture : test::ScriptedEndpointsFixture {
  tcp::socket ConnectAndSend(const std::string& bytes) {
    tcp::socket socket(harness.io());
    const SocketAddress& address = harness.state().settings().front_listen();
    socket.connect({asio::ip::make_address(address.host), address.port});
    asio::write(socket, asio::buffer(bytes));
    return socket;
  }
  // Grows another request's body so that it needs what slow senders hold.
  void FillBuffers(BufferQuota::Reservation& others) {
    BufferQuota& quota = harness.state().buffers();
    others.Grow(quota.limit() - quota.reserve() - quota.used());
    others.Grow(1);
  }
};

BOOST_FIXTURE_TEST_SUITE(a_request_without_a_body, FullBuffersFixture)

// Guards against a caller whose close is not seen: the memory of the request's
// head was taken for a body that others need, which cancelled what watches the
// connection and, had one been under way, the writing of the response.
BOOST_AUTO_TEST_CASE(is_still_watched_as_the_buffers_are_full) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return Reply{StreamHead(id) + EventChunk(1)};
  });
  {
    tcp::socket caller = ConnectAndSend(MakeRequest("GET", "/chat/", "id-1"));
    harness.RunFor(kSlowTime);
    BOOST_REQUIRE(harness.state().requests_in_progress == 1u);
    BufferQuota::Reservation others(&harness.state().buffers());
    FillBuffers(others);
    harness.RunFor(kSettleTime);
    BOOST_REQUIRE(endpoints[0]->abandoned() == 0);
  }
  harness.RunFor(kSettleTime);
  BOOST_TEST(endpoints[0]->abandoned() == 1);
  BOOST_TEST(harness.state().requests_in_progress == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
