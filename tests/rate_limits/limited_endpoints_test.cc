#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::Field;
using test::HasStatus;
using test::IsComplete;
using test::MakeRequest;
using test::MakeResponse;
using Reply = test::ScriptedEndpoint::Reply;

// Two endpoints, the first of which names `limit` in its responses.
struct LimitedFixture : test::ScriptedEndpointsFixture {
  void StartDesk(int limited, int unlimited) {
    Start("desk", limited,
          [this](const std::string&, const std::string& id, int) {
            return Reply{MakeResponse(
                id, "done", status,
                limit.empty() ? "" : Field(platform::kServerLimit, limit))};
          });
    Start("desk", unlimited,
          [](const std::string&, const std::string& id, int) {
            return Reply{MakeResponse(id, "done")};
          });
  }

  std::string Send(const std::string& more_fields = "") {
    return harness.Exchange(
        MakeRequest("GET", "/list/", "id-" + std::to_string(++sent), "",
                    more_fields),
        IsComplete);
  }
  // Sends requests at the same time. Returns how many responses had status 200.
  int SendTogether(int count) {
    int served = 0;
    int pending = count;
    for (int i = 0; i < count; ++i) {
      const std::string id = "id-" + std::to_string(++sent);
      asio::co_spawn(
          harness.io(),
          [this, id, &served, &pending]() -> asio::awaitable<void> {
            const SocketAddress& to = harness.state().settings().front_listen();
            tcp::socket socket(harness.io());
            co_await socket.async_connect(
                {asio::ip::make_address(to.host), to.port}, kAsTuple);
            const std::string request = MakeRequest("GET", "/list/", id);
            co_await asio::async_write(socket, asio::buffer(request), kAsTuple);
            std::string part(1'024, '\0');
            auto [failure, bytes] =
                co_await socket.async_read_some(asio::buffer(part), kAsTuple);
            served += !failure && HasStatus(part, "200") ? 1 : 0;
            if (--pending == 0)
              harness.io().stop();
          },
          asio::detached);
    }
    harness.RunFor(std::chrono::seconds(3));
    return served;
  }
  size_t LimitsInForce() {
    return harness.state().endpoints().rate_limits().size();
  }

  std::string limit;
  std::string status = "200 OK";
  int sent = 0;
};

BOOST_FIXTURE_TEST_SUITE(a_service_with_one_limited_endpoint, LimitedFixture)

BOOST_AUTO_TEST_CASE(sends_the_others_what_that_one_does_not_take) {
  limit = "0.5";
  StartDesk(1, 1);
  for (int i = 0; i < 12; ++i)
    BOOST_TEST(HasStatus(Send(), "200"));
  BOOST_TEST(endpoints[0]->heads().size() <= 2u);
  BOOST_TEST(endpoints[1]->heads().size() >= 10u);
}

BOOST_AUTO_TEST_CASE(does_not_take_its_rejections_for_failures) {
  limit = "1000";
  StartDesk(1, 0);
  status = "503 Busy\r\n" + std::string(platform::kNotExecuted) + ": 1";
  for (int i = 0; i < 8; ++i)
    Send();
  BOOST_TEST(LimitsInForce() == 1u);
  BOOST_TEST(
      !harness.state().endpoints().Running("desk")[0]->health().ejected());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_service_whose_endpoints_are_all_limited,
                         LimitedFixture)

BOOST_AUTO_TEST_CASE(refuses_at_once_what_it_could_only_serve_late) {
  limit = "0.25";
  StartDesk(1, 0);
  BOOST_TEST(HasStatus(Send(), "200"));
  Send();
  const Timestamp start = harness.state().Now();
  const std::string response = Send(Field(platform::kDeadline, "60000"));
  BOOST_TEST(HasStatus(response, "503"));
  BOOST_TEST(response.find("endpoints-limited") != std::string::npos);
  BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
  BOOST_TEST((harness.state().Now() - start < milliseconds(100)));
  BOOST_TEST(endpoints[0]->heads().size() <= 2u);
}

BOOST_AUTO_TEST_CASE(keeps_a_request_waiting_that_it_can_serve_in_time) {
  limit = "5";
  StartDesk(1, 0);
  // At most one in 100 ms, twice the even pace.
  const Timestamp start = harness.state().Now();
  for (int i = 0; i < 5; ++i)
    BOOST_TEST(HasStatus(Send(), "200"));
  BOOST_TEST((harness.state().Now() - start >= milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(serves_those_that_wait_as_the_limit_ends) {
  limit = "5";
  StartDesk(1, 0);
  for (int i = 0; i < 2; ++i)
    BOOST_TEST(HasStatus(Send(), "200"));
  limit.clear();
  BOOST_TEST(SendTogether(3) == 3);
  BOOST_TEST(LimitsInForce() == 0u);
  BOOST_TEST(SendTogether(10) == 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_response_with_an_unreadable_limit, LimitedFixture)

BOOST_AUTO_TEST_CASE(changes_nothing_and_is_counted) {
  StartDesk(1, 0);
  const std::string unreadable[] = {
      "-1", "nan", "inf", "many", "1e18", "", std::string(4'000, '9') + "x"};
  for (const std::string& value : unreadable) {
    limit = value;
    BOOST_TEST(HasStatus(Send(), "200"), value);
    BOOST_TEST(LimitsInForce() == 0u, value);
  }
  // An empty value is not sent at all by the endpoint of this test.
  BOOST_TEST(harness.state().RenderMetrics().find(
                 "unreadable_rate_limits_total 6") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
