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

// Engines that crash instead of answering a request with the part "bad1": they
// break all connections and refuse new ones.
struct CrashingPromptsFixture : test::ScriptedEndpointsFixture {
  CrashingPromptsFixture() {
    Start("pool", 16,
          [this](const std::string& head, const std::string& id, int) {
            if (head.find("bad1:") == std::string::npos)
              return Reply{StreamHead(id) + EventChunk(1) + kLastChunk};
            ++crashes;
            Reply crash;
            crash.crashes = true;
            return crash;
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

  int crashes = 0;
  int requests = 0;
};

BOOST_FIXTURE_TEST_SUITE(a_prompt_that_crashes_engines, CrashingPromptsFixture)

BOOST_AUTO_TEST_CASE(is_refused_as_not_run_after_a_few_crashes) {
  for (int i = 0; i < 3; ++i) {
    SendChat("bad1");
    BOOST_TEST(HasStatus(SendChat("b2"), "200"));
  }
  harness.RunFor(milliseconds(1'100));
  const int crashes_before = crashes;
  BOOST_TEST(crashes_before <= 6);
  const std::string refusal = SendChat("bad1");
  BOOST_TEST(HasStatus(refusal, "503"));
  BOOST_TEST(refusal.find("crashes-endpoints") != std::string::npos);
  BOOST_TEST(refusal.find("not-run") != std::string::npos);
  BOOST_TEST(refusal.find("Retry-After") != std::string::npos);
  BOOST_TEST(crashes == crashes_before);
}

BOOST_AUTO_TEST_CASE(does_not_affect_chats_that_share_other_parts_with_it) {
  for (int i = 0; i < 3; ++i) {
    SendChat("bad1");
    SendChat("b2");
  }
  harness.RunFor(milliseconds(1'100));
  for (int i = 0; i < 3; ++i) {
    SendChat("bad1");
    BOOST_TEST(HasStatus(SendChat("b2"), "200"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
