#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::EventChunk;
using test::Field;
using test::HasStatus;
using test::IsComplete;
using test::kLastChunk;
using test::MakeRequest;
using test::MakeResponse;
using test::StreamHead;
using Reply = test::ScriptedEndpoint::Reply;

constexpr Duration kChangeAfter = milliseconds(100);
// Half of the route's objective, see WaitingRequests::MaxWait.
constexpr Duration kLongestWait = milliseconds(500);
constexpr Duration kTolerance = milliseconds(200);
constexpr Duration kSettleTime = milliseconds(20);

// A gateway whose endpoints or configuration change while it has requests.
struct DroppedRoutesFixture : test::ScriptedEndpointsFixture {
  // Calls `change` after kChangeAfter.
  void ChangeLater(std::function<void()> change) {
    asio::co_spawn(
        harness.io(),
        [this, change]() -> asio::awaitable<void> {
          asio::steady_timer timer(harness.io(), kChangeAfter);
          co_await timer.async_wait(kAsTuple);
          change();
        },
        asio::detached);
  }
  void RemoveEndpoints() {
    harness.state().endpoints().ReplaceAll({}, harness.state().Now());
  }
  // Another version of the configuration, with neither the routes nor the
  // services and customers that the requests of this test use.
  void DropRoutes() {
    RouteTableParts parts = test::MakeRoutes().parts();
    parts.version += 1;
    ServiceSpec other;
    other.name = "other";
    parts.services = {other};
    Route route = parts.routes.back();
    route.path_prefix = "/other/";
    route.services = {{"other", 1}};
    parts.routes = {route};
    parts.customers = {{"others", {"key-2"}, std::nullopt}};
    RouteTable routes = RouteTable::Create(std::move(parts)).TakeValue();
    const bool is_newer = harness.state().UpdateRoutes(std::move(routes));
    BOOST_REQUIRE(is_newer);
  }
  size_t RequestsInProgress() {
    harness.RunFor(kSettleTime);
    return harness.state().requests_in_progress;
  }
  std::string Send(const std::string& path) {
    start = harness.state().Now();
    std::string response = harness.Exchange(
        MakeRequest("POST", path, "id-1", "body",
                    Field(platform::kPromptPrefix, "a1:512,b2:10000,c3:100")),
        IsComplete);
    elapsed = harness.state().Now() - start;
    return response;
  }

  Timestamp start{};
  Duration elapsed{};
};

struct WaitingFixture : DroppedRoutesFixture {
  WaitingFixture() {
    Start("pool", 1, [](const std::string&, const std::string& id, int) {
      return Reply{StreamHead(id) + EventChunk(1) + kLastChunk};
    });
    Report(100);
  }
  void Report(uint32_t running) {
    harness.state().endpoints().Running("pool").front()->OnReport(
        {running, 0}, harness.state().Now());
  }
  // Sends chats at the same time. Returns their responses.
  std::vector<std::string> SendTogether(size_t count) {
    std::vector<std::string> responses(count);
    size_t pending = count;
    for (size_t i = 0; i < count; ++i) {
      asio::co_spawn(
          harness.io(),
          [this, i, &responses, &pending]() -> asio::awaitable<void> {
            const SocketAddress& to = harness.state().settings().front_listen();
            tcp::socket socket(harness.io());
            const tcp::endpoint target(asio::ip::make_address(to.host),
                                       to.port);
            co_await socket.async_connect(target, kAsTuple);
            const std::string request =
                MakeRequest("POST", "/chat/", "id-" + std::to_string(i), "body",
                            Field(platform::kPromptPrefix, "a1:512,c3:100"));
            co_await asio::async_write(socket, asio::buffer(request), kAsTuple);
            std::string part(4'096, '\0');
            auto [failure, bytes] =
                co_await socket.async_read_some(asio::buffer(part), kAsTuple);
            responses[i].assign(part, 0, bytes);
            if (--pending == 0)
              harness.io().stop();
          },
          asio::detached);
    }
    harness.RunFor(seconds(3));
    return responses;
  }
};

BOOST_FIXTURE_TEST_SUITE(a_request_that_waits_for_room, WaitingFixture)

BOOST_AUTO_TEST_SUITE(while_the_endpoint_list_becomes_empty)

// Guards against a wait for endpoints that are gone, and against a closed
// connection.
BOOST_AUTO_TEST_CASE(is_refused_at_once) {
  ChangeLater([this] { RemoveEndpoints(); });
  const std::string response = Send("/chat/");
  BOOST_TEST_CONTEXT(response) {
    BOOST_TEST(HasStatus(response, "503"));
    BOOST_TEST(IsComplete(response));
    BOOST_TEST(response.find("Retry-After") != std::string::npos);
  }
  BOOST_TEST((elapsed >= kChangeAfter));
  BOOST_TEST((elapsed < kChangeAfter + kTolerance));
  BOOST_TEST(RequestsInProgress() == 0u);
}

BOOST_AUTO_TEST_CASE(is_refused_at_once_behind_others_that_came_with_it) {
  ChangeLater([this] { RemoveEndpoints(); });
  start = harness.state().Now();
  const std::vector<std::string> responses = SendTogether(30);
  elapsed = harness.state().Now() - start;
  for (const std::string& response : responses) {
    BOOST_TEST(HasStatus(response, "503"), response);
    BOOST_TEST(IsComplete(response));
  }
  BOOST_TEST((elapsed >= kChangeAfter));
  BOOST_TEST((elapsed < kChangeAfter + kTolerance));
  BOOST_TEST(RequestsInProgress() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_the_configuration_drops_it)

BOOST_AUTO_TEST_CASE(is_served_if_there_is_room) {
  ChangeLater([this] {
    DropRoutes();
    Report(0);
  });
  const std::string response = Send("/chat/");
  BOOST_TEST(HasStatus(response, "200"), response);
  BOOST_TEST(IsComplete(response));
  BOOST_TEST((elapsed < kChangeAfter + kTolerance));
}

BOOST_AUTO_TEST_CASE(is_refused_after_its_wait_otherwise) {
  ChangeLater([this] { DropRoutes(); });
  const std::string response = Send("/chat/");
  BOOST_TEST(HasStatus(response, "503"), response);
  BOOST_TEST(IsComplete(response));
  BOOST_TEST((elapsed < kLongestWait + kTolerance));
  BOOST_TEST(RequestsInProgress() == 0u);
}

BOOST_AUTO_TEST_CASE(is_refused_at_once_if_its_endpoints_go_too) {
  ChangeLater([this] {
    DropRoutes();
    RemoveEndpoints();
  });
  const std::string response = Send("/chat/");
  BOOST_TEST(HasStatus(response, "503"), response);
  BOOST_TEST(IsComplete(response));
  BOOST_TEST((elapsed < kChangeAfter + kTolerance));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// One endpoint that takes two requests a second, and has just had some.
struct RateLimitFixture : DroppedRoutesFixture {
  RateLimitFixture() {
    Start("desk", 1, [](const std::string&, const std::string& id, int) {
      return Reply{MakeResponse(id, "done", "200 OK",
                                Field(platform::kServerLimit, "2"))};
    });
    for (int i = 0; i < kSent; ++i)
      BOOST_REQUIRE(HasStatus(Send("/list/"), "200"));
  }

  static constexpr int kSent = 2;
};

BOOST_AUTO_TEST_SUITE(a_request_that_waits_at_a_rate_limit)

BOOST_AUTO_TEST_CASE(is_refused_at_once_if_its_endpoints_go) {
  for (const bool drops_routes : {false, true}) {
    RateLimitFixture fixture;
    fixture.ChangeLater([&] {
      if (drops_routes)
        fixture.DropRoutes();
      fixture.RemoveEndpoints();
    });
    const std::string response = fixture.Send("/list/");
    BOOST_TEST_CONTEXT(response) {
      BOOST_TEST(HasStatus(response, "503"));
      BOOST_TEST(IsComplete(response));
    }
    BOOST_TEST((fixture.elapsed >= kChangeAfter));
    BOOST_TEST((fixture.elapsed < kChangeAfter + kTolerance));
    BOOST_TEST(fixture.RequestsInProgress() == 0u);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_request_in_an_attempt, DroppedRoutesFixture)

BOOST_AUTO_TEST_CASE(gets_its_response_after_it_was_dropped) {
  for (const std::string path : {"/order/", "/list/", "/chat/"}) {
    DroppedRoutesFixture fixture;
    const bool is_chat = path == "/chat/";
    fixture.Start(
        is_chat ? "pool" : "desk", 1,
        [=](const std::string&, const std::string& id, int) {
          Reply reply{is_chat ? StreamHead(id) : "HTTP/1.1 200 OK\r\n"};
          reply.pause = 2 * kChangeAfter;
          reply.rest = is_chat ? EventChunk(1) + kLastChunk
                               : MakeResponse(id, "done").substr(17);
          return reply;
        });
    fixture.ChangeLater([&] {
      fixture.DropRoutes();
      fixture.RemoveEndpoints();
    });
    const std::string response = fixture.Send(path);
    BOOST_TEST_CONTEXT(path << ": " << response) {
      BOOST_TEST(HasStatus(response, "200"));
      BOOST_TEST(IsComplete(response));
      BOOST_TEST((fixture.elapsed >= 2 * kChangeAfter));
    }
  }
}

BOOST_AUTO_TEST_CASE(gets_an_error_if_that_breaks_after_it_was_dropped) {
  for (const char* path : {"/order/", "/list/", "/chat/"}) {
    DroppedRoutesFixture fixture;
    const bool is_chat = std::string(path) == "/chat/";
    fixture.Start(is_chat ? "pool" : "desk", 2,
                  [](const std::string&, const std::string&, int) {
                    Reply reply{"HTTP/1.1 200"};
                    reply.pause = 2 * kChangeAfter;
                    reply.rest = " OK\r\n";
                    reply.closes = true;
                    return reply;
                  });
    fixture.ChangeLater([&] {
      fixture.DropRoutes();
      fixture.RemoveEndpoints();
    });
    const std::string response = fixture.Send(path);
    BOOST_TEST_CONTEXT(path << ": " << response) {
      BOOST_TEST(HasStatus(response, "502"));
      BOOST_TEST(IsComplete(response));
      BOOST_TEST((fixture.elapsed < 2 * kChangeAfter + kTolerance));
    }
    BOOST_TEST(fixture.RequestsInProgress() == 0u);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
