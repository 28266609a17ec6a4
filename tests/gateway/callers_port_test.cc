#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::Field;
using test::IsComplete;
using test::MakeRequest;
using test::MakeResponse;
using test::ScriptedEndpoint;

struct CallersPortFixture {
  CallersPortFixture()
      : desk(&harness.io(), [](const std::string&, const std::string& id, int) {
          return ScriptedEndpoint::Reply{MakeResponse(id, "done")};
        }) {
    harness.AddEndpoint("desk-1", "desk", desk);
  }

  std::string Send(const std::string& request) {
    return harness.Exchange(request, IsComplete);
  }
  int StatusOf(const std::string& request) {
    const std::string response = Send(request);
    return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
  }

  test::GatewayHarness harness;
  ScriptedEndpoint desk;
};

BOOST_FIXTURE_TEST_SUITE(a_callers_request, CallersPortFixture)

BOOST_AUTO_TEST_CASE(is_forwarded_with_the_headers_added_by_the_gateway) {
  const std::string response = Send(MakeRequest(
      "POST", "/order/7?x=1", "id-1", "body",
      Field(platform::kDeadline, "900") + Field(platform::kTenant, "forged") +
          Field("X-Own", "kept") +
          Field(platform::kKvFrom, "192.0.2.1:1/forged")));
  BOOST_TEST(response.find("200 OK") != std::string::npos);
  BOOST_TEST(response.find("seal-id-1") != std::string::npos);
  BOOST_REQUIRE(desk.heads().size() == 1u);
  const std::string& head = desk.heads()[0];
  BOOST_TEST(head.find("POST /order/7?x=1 HTTP/1.1") == 0u);
  BOOST_TEST(head.find(Field(platform::kTenant, "office")) !=
             std::string::npos);
  BOOST_TEST(head.find(Field(platform::kExpectInstance, "desk-1")) !=
             std::string::npos);
  BOOST_TEST(head.find("X-Own: kept") != std::string::npos);
  BOOST_TEST(head.find("forged") == std::string::npos);
  BOOST_TEST(head.find("key-1") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(is_refused_if_its_route_or_key_is_unknown) {
  BOOST_TEST(StatusOf(MakeRequest("GET", "/nowhere/", "id-1")) == 404);
  std::string request = MakeRequest("GET", "/order/", "id-1");
  request.replace(request.find("key-1"), 5, "key-9");
  BOOST_TEST(StatusOf(request) == 401);
  BOOST_TEST(desk.heads().empty());
}

BOOST_AUTO_TEST_CASE(is_refused_once_its_key_may_have_been_revoked) {
  harness.state().Reload(harness.state().settings());
  harness.state().configuration_freshness() =
      ConfigurationFreshness(milliseconds(30));
  harness.state().configuration_freshness().OnConfirmed(
      GatewayState::BootNow());
  BOOST_TEST(StatusOf(MakeRequest("GET", "/order/", "id-1")) == 200);
  harness.RunFor(milliseconds(40));
  const std::string response = Send(MakeRequest("GET", "/order/", "id-2"));
  BOOST_TEST(response.find("503") == 9u);
  BOOST_TEST(response.find("Retry-After: 0.") != std::string::npos);
  BOOST_TEST(desk.heads().size() == 1u);
}

BOOST_AUTO_TEST_SUITE(that_exceeds_the_limits)

BOOST_FIXTURE_TEST_CASE(gets_413_while_sending_ten_megabytes,
                        CallersPortFixture) {
  const std::string body(10 << 20, 'x');
  BOOST_TEST(StatusOf(MakeRequest("POST", "/order/", "id-1", body)) == 413);
}

BOOST_FIXTURE_TEST_CASE(gets_431_for_a_long_header_field, CallersPortFixture) {
  const std::string field = "X-Long: " + std::string(20'000, 'x') + "\r\n";
  BOOST_TEST(StatusOf(MakeRequest("GET", "/order/", "id-1", "", field)) == 431);
}

BOOST_FIXTURE_TEST_CASE(gets_400_without_a_host, CallersPortFixture) {
  BOOST_TEST(StatusOf("GET /order/ HTTP/1.1\r\n\r\n") == 400);
}

BOOST_FIXTURE_TEST_CASE(cannot_smuggle_another_request, CallersPortFixture) {
  const std::string hidden = MakeRequest("GET", "/order/", "id-hidden");
  for (const std::string field :
       {"Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding:\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: +5\r\n"}) {
    const std::string request =
        "POST /order/ HTTP/1.1\r\nHost: shop.example\r\n" + field + "\r\n" +
        hidden;
    BOOST_TEST_CONTEXT(field)
    BOOST_TEST(StatusOf(request) == 400);
  }
  BOOST_TEST(desk.heads().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_its_gateway_is_leaving)

BOOST_FIXTURE_TEST_CASE(is_served_and_its_connection_closed,
                        CallersPortFixture) {
  harness.state().BeginLeaving(harness.state().Now());
  const std::string response = Send(MakeRequest("GET", "/order/", "id-1"));
  BOOST_TEST(response.find("200 OK") != std::string::npos);
  BOOST_TEST(response.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
