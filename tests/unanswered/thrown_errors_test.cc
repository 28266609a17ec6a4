#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "gateway/gateway_harness.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::EventChunk;
using test::HasStatus;
using test::IsComplete;
using test::kLastChunk;
using test::MakeRequest;
using test::MakeResponse;
using test::StreamHead;
using Reply = test::ScriptedEndpoint::Reply;

constexpr Duration kSoon = milliseconds(500);
constexpr int kDraws = 8;
constexpr Duration kSettleTime = milliseconds(20);

// Endpoints to which no attempt can be made: their address is not an IP
// address, which throws where the connection is made.
struct ThrowingFixture : test::ScriptedEndpointsFixture {
  void AddThrowingEndpoint(const std::string& service) {
    EndpointRecord record = test::MakeDeskRecord(service + "-throws", "a");
    record.service = service;
    record.address = {"endpoint.example", 8080};
    harness.state().endpoints().Put(record, harness.state().Now());
  }
  void StartServing(const std::string& service) {
    const bool is_chat = service == "pool";
    Start(service, 1,
          [is_chat](const std::string&, const std::string& id, int) {
            return Reply{is_chat ? StreamHead(id) + EventChunk(1) + kLastChunk
                                 : MakeResponse(id, "done")};
          });
  }
  std::string Send(const std::string& path) {
    const Timestamp start = harness.state().Now();
    std::string response =
        harness.Exchange(MakeRequest("POST", path, "id-1", "body"), IsComplete);
    elapsed = harness.state().Now() - start;
    return response;
  }
  uint32_t RequestsAtEndpoints() {
    return harness.state().endpoints().LocalRequests("desk") +
           harness.state().endpoints().LocalRequests("pool");
  }

  Duration elapsed{};
};

BOOST_AUTO_TEST_SUITE(an_attempt_that_throws)

// Guards against a request that is read and gets no response: the exception
// ended the coroutine of its connection, which stayed open, and the request
// stayed in the count of those in progress.
BOOST_AUTO_TEST_CASE(is_followed_by_a_refusal) {
  for (const std::string path : {"/order/", "/list/", "/chat/"}) {
    ThrowingFixture fixture;
    fixture.AddThrowingEndpoint(path == "/chat/" ? "pool" : "desk");
    const std::string response = fixture.Send(path);
    BOOST_TEST_CONTEXT(path << ": " << response) {
      BOOST_TEST(HasStatus(response, "503"));
      BOOST_TEST(IsComplete(response));
      BOOST_TEST((fixture.elapsed < kSoon));
      fixture.harness.RunFor(kSettleTime);
      BOOST_TEST(fixture.harness.state().requests_in_progress == 0u);
      BOOST_TEST(fixture.RequestsAtEndpoints() == 0u);
    }
  }
}

BOOST_AUTO_TEST_CASE(is_followed_by_one_at_another_endpoint) {
  for (const std::string path : {"/order/", "/list/", "/chat/"}) {
    const std::string service = path == "/chat/" ? "pool" : "desk";
    // Which endpoint is tried first is drawn at random.
    for (int i = 0; i < kDraws; ++i) {
      ThrowingFixture fixture;
      fixture.AddThrowingEndpoint(service);
      fixture.StartServing(service);
      const std::string response = fixture.Send(path);
      BOOST_TEST(HasStatus(response, "200"), path << ": " << response);
      fixture.harness.RunFor(kSettleTime);
      BOOST_TEST(fixture.RequestsAtEndpoints() == 0u);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
