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

// Engines that run chats about the document "lost1" and then reset the
// connection.
struct LostResponsesFixture : test::ScriptedEndpointsFixture {
  LostResponsesFixture() {
    Start("pool", 8, [](const std::string& head, const std::string& id, int) {
      if (head.find("lost1:") == std::string::npos)
        return Reply{StreamHead(id) + EventChunk(1) + kLastChunk};
      return Reply{"", false, true};
    });
  }

  std::string SendChat(const std::string& document) {
    const std::string id = "id-" + std::to_string(++requests);
    return harness.Exchange(
        MakeRequest("POST", "/chat/", id, "body",
                    Field(platform::kPromptPrefix,
                          "a1:512," + document + ":10000,c" + id + ":100")),
        IsComplete);
  }
  int Connections() const {
    int count = 0;
    for (const auto& endpoint : endpoints)
      count += endpoint->connections();
    return count;
  }
  bool HasCounted(const std::string& verdict, int count) {
    return harness.state().RenderMetrics().find(
               "crash_evidence_total{reason=\"" + verdict + "\"} " +
               std::to_string(count) + "\n") != std::string::npos;
  }

  int requests = 0;
};

BOOST_FIXTURE_TEST_SUITE(lost_responses, LostResponsesFixture)

// Regression test: 1,424 sound requests were refused as each lost response
// counted as a crash.
BOOST_AUTO_TEST_CASE(do_not_block_their_prompts) {
  for (int i = 0; i < 6; ++i) {
    SendChat("lost1");
    harness.RunFor(milliseconds(300));
  }
  harness.RunFor(milliseconds(1'100));
  BOOST_TEST(SendChat("lost1").find("crashes-endpoints") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(are_each_disproved_once) {
  SendChat("lost1");
  harness.RunFor(milliseconds(500));
  BOOST_TEST(HasCounted("disproved-accepted", 2));
  harness.RunFor(milliseconds(500));
  BOOST_TEST(HasCounted("disproved-accepted", 2));
}

// A probe for each lost response must not cost connections.
BOOST_AUTO_TEST_CASE(are_probed_by_a_connection_that_requests_then_use) {
  SendChat("lost1");
  harness.RunFor(milliseconds(500));
  const int connections = Connections();
  BOOST_TEST(connections == 4);
  for (int i = 0; i < 2; ++i)
    BOOST_TEST(HasStatus(SendChat("b2"), "200"));
  BOOST_TEST(Connections() <= connections + 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
