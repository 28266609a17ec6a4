#include "teaselthread/store/store_controller.h"

#include <boost/test/unit_test.hpp>

#include <functional>

#include "gateway/gateway_fixtures.h"
#include "gateway/gateway_harness.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::ScriptedEndpoint;

constexpr uint64_t kRevision = 7;
constexpr Duration kTick = milliseconds(20);

// A controller whose store responds to list calls but never to watch calls.
struct ControllerFixture {
  ControllerFixture()
      : store(&io,
              [this](const std::string& head, const std::string&, int) {
                return Respond(head);
              }),
        state(&io, test::MakeSettings(store.address().port), &codec),
        controller(&state) {
    state.UpdateRoutes(test::MakeRoutes());
    controller.Start();
    RunUntil([this] { return watches == 3; });
  }

  ScriptedEndpoint::Reply Respond(const std::string& head) {
    const std::string list = codec.ListTarget(StoreKind::kEndpoints, "", false);
    if (head.starts_with("GET " + list.substr(0, list.find('?'))))
      ++endpoint_calls;
    if (head.find('?') != std::string::npos &&
        !head.starts_with("GET " + list + " ")) {
      ++watches;
      return {};
    }
    return {test::MakeResponse("", R"({"items":[],"has_more":false,"at":)" +
                                       std::to_string(kRevision) + "}")};
  }

  void RunUntil(const std::function<bool()>& done) {
    for (int tick = 0; tick < 100 && !done(); ++tick) {
      state.timers().Advance(state.Now());
      io.run_for(kTick);
    }
  }

  static PeerStatus StatusOf(uint64_t endpoints_revision) {
    PeerStatus status;
    status.endpoints_revision = endpoints_revision;
    return status;
  }

  asio::io_context io;
  platform::PlatformCodec codec;
  int watches = 0;
  int endpoint_calls = 0;
  ScriptedEndpoint store;
  GatewayState state;
  StoreController controller;
};

BOOST_FIXTURE_TEST_SUITE(a_gateway_with_unresponsive_watches, ControllerFixture)

// Guards against requests to endpoints that have left. In a test run in which
// the store stopped responding for about a second at a time, one gateway of
// eight detected it, and the others sent such requests for up to five seconds.
BOOST_AUTO_TEST_CASE(reconnects_when_a_peer_announces_a_newer_revision) {
  const int calls_before = endpoint_calls;
  const Timestamp announced_at = state.Now();
  controller.OnPeerStatus(StatusOf(kRevision + 1));
  RunUntil([&] { return endpoint_calls > calls_before; });
  BOOST_TEST(endpoint_calls == calls_before + 1);
  // Without the announcement, the watch would fail only after 1.8 s.
  BOOST_TEST((state.Now() - announced_at < milliseconds(1'500)));
}

BOOST_AUTO_TEST_CASE(keeps_waiting_when_a_peer_announces_a_known_revision) {
  const int calls_before = endpoint_calls;
  controller.OnPeerStatus(StatusOf(kRevision));
  RunUntil([start = state.Now(), this] {
    return state.Now() - start > milliseconds(600);
  });
  BOOST_TEST(endpoint_calls == calls_before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
