#include "teaselthread/store/store_watcher.h"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::ScriptedEndpoint;

constexpr uint64_t kRevision = 7;
constexpr Duration kLongWait = seconds(25);
constexpr Duration kShortWait = milliseconds(100);

// A store that responds to the first list call. It reads the later calls and
// never responds to them, as happens if the store process hangs while its host
// still accepts data.
ScriptedEndpoint::Reply RespondToFirstCall(const std::string& /*head*/,
                                           const std::string& /*id*/,
                                           int number) {
  if (number > 0)
    return {};
  return {test::MakeResponse("", R"({"items":[],"has_more":false,"at":)" +
                                     std::to_string(kRevision) + "}")};
}

struct WatcherFixture {
  WatcherFixture()
      : store(&io, RespondToFirstCall),
        state(&io, test::MakeSettings(store.address().port), &codec),
        watcher(&state,
                StoreKind::kConfiguration,
                Duration::zero(),
                [this] {
                  return StoreWatcher::PollTiming{
                      wait, {}, {milliseconds(60), seconds(5)}};
                },
                {[](const StoreUpdate&) {}, [](const StoreUpdate&) {},
                 [this](bool reachable) {
                   if (!reachable)
                     ++failure_count;
                 }}) {
    watcher.Start();
    RunUntilCalls(2);
  }

  void RunUntilCalls(size_t calls) {
    while (store.heads().size() < calls)
      io.run_one();
  }

  bool LatestCallWaitsFor(Duration time) const {
    const std::string target =
        codec.WatchTarget(StoreKind::kConfiguration, kRevision, time);
    return store.heads().back().starts_with("GET " + target + " ");
  }

  asio::io_context io;
  platform::PlatformCodec codec;
  Duration wait = kLongWait;
  int failure_count = 0;
  ScriptedEndpoint store;
  GatewayState state;
  StoreWatcher watcher;
};

BOOST_FIXTURE_TEST_SUITE(a_watch_of_an_unresponsive_store, WatcherFixture)

BOOST_AUTO_TEST_CASE(waits_as_long_as_the_poll_timing_says) {
  BOOST_TEST(LatestCallWaitsFor(kLongWait));
  BOOST_TEST(failure_count == 0);
}

// Guards against repeating a call with an outdated wait. In a test run in which
// the store did not respond from 18 s to 26 s, 45 of 58 gateways repeated their
// calls on new connections at 19 s with the former wait of 25 s, and received
// no endpoints until 34 s.
BOOST_AUTO_TEST_CASE(is_repeated_with_the_current_poll_timing) {
  wait = kShortWait;
  watcher.Reconnect();
  RunUntilCalls(3);
  BOOST_TEST(store.connections() == 2);
  BOOST_TEST(LatestCallWaitsFor(kShortWait));
  BOOST_TEST(failure_count == 0);
  // The call times out, and the watcher retries until the store responds.
  RunUntilCalls(4);
  BOOST_TEST(failure_count == 1);
  BOOST_TEST(watcher.is_unreachable());
}

BOOST_AUTO_TEST_CASE(is_repeated_once_for_two_reconnects_at_the_same_time) {
  watcher.Reconnect();
  watcher.Reconnect();
  RunUntilCalls(3);
  BOOST_TEST(store.connections() == 2);
  BOOST_TEST(failure_count == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
