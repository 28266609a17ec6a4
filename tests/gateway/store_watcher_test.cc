#include "teaselthread/store/store_watcher.h"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::ScriptedEndpoint;

constexpr uint64_t kRevision = 7;
constexpr Duration kCalmWait = seconds(25);
constexpr Duration kUrgentWait = milliseconds(100);

// A store that answers the first list. What follows it reads, and leaves
// without an answer, as a store does whose machine lives on without it.
ScriptedEndpoint::Reply OnlyTheFirst(const std::string& /*head*/,
                                     const std::string& /*id*/,
                                     int number) {
  if (number > 0)
    return {};
  return {test::MakeResponse("", R"({"items":[],"has_more":false,"at":)" +
                                     std::to_string(kRevision) + "}")};
}

struct WatcherFixture {
  WatcherFixture()
      : store(&io, OnlyTheFirst),
        state(&io, test::MakeSettings(store.address().port), &codec),
        watcher(&state,
                StoreKind::kConfiguration,
                [this] {
                  return StoreWatcher::Pace{wait, {}, seconds(5)};
                },
                {[](const auto&, Timestamp) {}, [](const auto&, Timestamp) {},
                 [this](bool reachable) {
                   if (!reachable)
                     ++losses;
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
  Duration wait = kCalmWait;
  int losses = 0;
  ScriptedEndpoint store;
  GatewayState state;
  StoreWatcher watcher;
};

BOOST_FIXTURE_TEST_SUITE(a_watch_of_a_store_that_went_silent, WatcherFixture)

BOOST_AUTO_TEST_CASE(waits_as_long_as_it_was_told) {
  BOOST_TEST(LatestCallWaitsFor(kCalmWait));
  BOOST_TEST(losses == 0);
}

// Replays a day on which the store was silent from 18 to 26 s. 45 of 58
// gateways asked again on new connections at 19 s, to wait 25 s once more, and
// heard of no endpoint until 34 s.
BOOST_AUTO_TEST_CASE(is_asked_again_by_the_pace_of_that_time) {
  wait = kUrgentWait;
  watcher.Reconnect();
  RunUntilCalls(3);
  BOOST_TEST(store.connections() == 2);
  BOOST_TEST(LatestCallWaitsFor(kUrgentWait));
  BOOST_TEST(losses == 0);
  // The silence shows, and the store is asked until it answers.
  RunUntilCalls(4);
  BOOST_TEST(losses == 1);
  BOOST_TEST(watcher.is_lost());
}

BOOST_AUTO_TEST_CASE(is_asked_again_once_for_two_reasons_at_a_time) {
  watcher.Reconnect();
  watcher.Reconnect();
  RunUntilCalls(3);
  BOOST_TEST(store.connections() == 2);
  BOOST_TEST(losses == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
