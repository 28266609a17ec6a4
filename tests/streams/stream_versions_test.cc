#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::EventChunk;
using test::IsComplete;
using test::kLastChunk;
using test::MakeRequest;
using test::ScriptedEndpoint;
using test::StreamHead;
using Reply = ScriptedEndpoint::Reply;

struct VersionsFixture {
  // Adds an endpoint of the service "pool" that runs the script.
  void Start(const std::string& version, ScriptedEndpoint::Script script) {
    endpoints.push_back(
        std::make_unique<ScriptedEndpoint>(&harness.io(), std::move(script)));
    versions.push_back(version);
    harness.AddEndpoint("pool-" + std::to_string(endpoints.size()), "pool",
                        *endpoints.back(), version);
  }
  std::string Send(const std::string& id) {
    return harness.Exchange(MakeRequest("POST", "/chat/", id, "body"),
                            IsComplete);
  }
  size_t RequestsAt(const std::string& version) const {
    size_t total = 0;
    for (size_t i = 0; i < endpoints.size(); ++i) {
      if (versions[i] == version)
        total += endpoints[i]->heads().size();
    }
    return total;
  }

  test::GatewayHarness harness;
  std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
  std::vector<std::string> versions;
};

Reply BreakAfterEvent(const std::string& id) {
  return {.bytes = StreamHead(id) + EventChunk(1), .resets = true};
}

Reply Rest(const std::string& id) {
  return {.bytes = StreamHead(id) + EventChunk(2) + kLastChunk};
}

BOOST_FIXTURE_TEST_SUITE(a_stream_that_breaks, VersionsFixture)

// Guards against streams that are joined from two versions: the rest was
// requested from any other endpoint.
BOOST_AUTO_TEST_CASE(is_continued_by_the_version_that_began_it) {
  for (int i = 0; i < 8; ++i) {
    VersionsFixture fleet;
    int seen = 0;
    const auto begin_or_continue = [&](const std::string&,
                                       const std::string& id, int) {
      return seen++ == 0 ? BreakAfterEvent(id) : Rest(id);
    };
    for (const char* version : {"1", "2", "1", "2"})
      fleet.Start(version, begin_or_continue);
    BOOST_TEST(IsComplete(fleet.Send("id-" + std::to_string(i))));
    BOOST_TEST(seen == 2);
    BOOST_TEST((fleet.RequestsAt("1") == 2u || fleet.RequestsAt("2") == 2u));
  }
}

BOOST_AUTO_TEST_CASE(
    is_left_incomplete_if_no_endpoint_of_that_version_is_left) {
  int seen = 0;
  const auto script = [&](const std::string&, const std::string& id, int) {
    return seen++ == 0 ? BreakAfterEvent(id) : Rest(id);
  };
  Start("1", script);
  Start("2", script);
  BOOST_TEST(!IsComplete(Send("id-1")));
  BOOST_TEST(seen == 1);
}

BOOST_AUTO_TEST_CASE(begins_at_any_version_if_it_broke_before_its_first_event) {
  int seen = 0;
  const auto script = [&](const std::string&, const std::string& id, int) {
    return seen++ == 0 ? Reply{.bytes = StreamHead(id), .resets = true}
                       : Reply{StreamHead(id) + EventChunk(1) + kLastChunk};
  };
  Start("1", script);
  Start("2", script);
  BOOST_TEST(IsComplete(Send("id-1")));
  BOOST_TEST(seen == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
