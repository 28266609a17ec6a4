#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::EventChunk;
using test::Field;
using test::HasStatus;
using test::IsComplete;
using test::kLastChunk;
using test::MakeRequest;
using test::StreamHead;
using Reply = test::ScriptedEndpoint::Reply;

struct WaitingFixture : test::ScriptedEndpointsFixture {
  WaitingFixture() {
    Start("pool", 1, [](const std::string&, const std::string& id, int) {
      return Reply{StreamHead(id) + EventChunk(1) + kLastChunk};
    });
  }

  void Report(uint32_t running) {
    harness.state().endpoints().Running("pool").front()->OnReport(
        {running, 0}, harness.state().Now());
  }
  // Reports `running` requests at the engine after a while.
  void ReportLater(uint32_t running, Duration after) {
    asio::co_spawn(
        harness.io(),
        [this, running, after]() -> asio::awaitable<void> {
          asio::steady_timer timer(harness.io(), after);
          co_await timer.async_wait(kAsTuple);
          Report(running);
        },
        asio::detached);
  }
  std::string SendChat() {
    return harness.Exchange(
        MakeRequest("POST", "/chat/", "id-1", "body",
                    Field(platform::kPromptPrefix, "a1:512,b2:10000,c3:100")),
        IsComplete);
  }
};

BOOST_FIXTURE_TEST_SUITE(a_chat_whose_engines_are_at_the_load_bound,
                         WaitingFixture)

BOOST_AUTO_TEST_CASE(is_served_when_one_has_room) {
  Report(100);
  ReportLater(0, milliseconds(200));
  const Timestamp start = harness.state().Now();
  BOOST_TEST(HasStatus(SendChat(), "200"));
  BOOST_TEST((harness.state().Now() - start >= milliseconds(200)));
  BOOST_TEST((harness.state().Now() - start < milliseconds(450)));
}

BOOST_AUTO_TEST_CASE(is_refused_if_none_has_room_in_time) {
  Report(100);
  const Timestamp start = harness.state().Now();
  const std::string response = SendChat();
  BOOST_TEST(HasStatus(response, "503"));
  BOOST_TEST(response.find("Retry-After") != std::string::npos);
  BOOST_TEST(endpoints.front()->heads().empty());
  // Half of the route's objective.
  BOOST_TEST((harness.state().Now() - start >= milliseconds(500)));
  BOOST_TEST((harness.state().Now() - start < milliseconds(700)));
}

BOOST_AUTO_TEST_CASE(does_not_wait_without_need) {
  Report(0);
  const Timestamp start = harness.state().Now();
  BOOST_TEST(HasStatus(SendChat(), "200"));
  BOOST_TEST((harness.state().Now() - start < milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
