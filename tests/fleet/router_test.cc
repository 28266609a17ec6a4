#include "libteaselthread/router.h"

#include <boost/test/unit_test.hpp>
#include <map>

#include "support/fake_fleet.h"

namespace teaselthread {
namespace {

using test::FakeNode;

constexpr Timestamp kNow(std::chrono::seconds(1'000));

std::vector<Endpoint> MakeEngines(int count) {
  std::vector<Endpoint> engines;
  for (int i = 0; i < count; ++i) {
    engines.push_back(
        test::MakeEngine("engine-" + std::to_string(i), i % 2 ? "a" : "b"));
  }
  return engines;
}

struct RouterFixture {
  std::string PlaceChat(const std::string& chat, const std::string& hint = "") {
    const auto placed = node.router.Place(
        {EndpointKind::kModelEngine, "dossier", chat, hint, {}, {}}, kNow);
    const auto* placement = std::get_if<Placement>(&placed);
    return placement ? placement->endpoint : "refused";
  }
  void SetLoad(const std::string& endpoint, uint32_t load) {
    node.loads.Merge(
        {endpoint, "entry-1", load, EndpointTemperature::kWarm, ++sequence},
        kNow);
  }

  FakeNode node{test::MakeMember(1, "a"), MakeEngines(8)};
  uint64_t sequence = 0;
};

BOOST_FIXTURE_TEST_SUITE(chats_are_routed_to_endpoints, RouterFixture)

BOOST_AUTO_TEST_CASE(a_chat_returns_to_the_same_endpoint) {
  for (int i = 0; i < 50; ++i) {
    const std::string chat = "chat-" + std::to_string(i);
    BOOST_TEST(PlaceChat(chat) == PlaceChat(chat));
  }
}

BOOST_AUTO_TEST_CASE(the_chats_of_one_customer_spread_over_all_endpoints) {
  std::map<std::string, int> counts;
  for (int i = 0; i < 800; ++i)
    ++counts[PlaceChat("office/" + std::to_string(i))];
  BOOST_TEST(counts.size() == 8u);
  for (const auto& [endpoint, count] : counts)
    BOOST_TEST(count < 200);
}

BOOST_AUTO_TEST_CASE(removing_an_endpoint_moves_only_its_own_chats) {
  std::map<std::string, std::string> before;
  for (int i = 0; i < 400; ++i)
    before["chat-" + std::to_string(i)] =
        PlaceChat("chat-" + std::to_string(i));
  node.Configure(test::DocumentWithModel("slots = 8\n") +
                 "[fleet]\nvms_out = engine-3\n");
  for (const auto& [chat, endpoint] : before) {
    if (endpoint != "engine-3")
      BOOST_TEST(PlaceChat(chat) == endpoint);
    else
      BOOST_TEST(PlaceChat(chat) != endpoint);
  }
}

BOOST_AUTO_TEST_CASE(the_hinted_endpoint_comes_first) {
  for (int i = 0; i < 8; ++i) {
    const std::string hint = "engine-" + std::to_string(i);
    BOOST_TEST(PlaceChat("chat", hint) == hint);
  }
  BOOST_TEST(PlaceChat("chat", "engine-99") == PlaceChat("chat"));
}

BOOST_AUTO_TEST_CASE(an_endpoint_at_its_load_bound_is_skipped) {
  const std::string first = PlaceChat("chat");
  for (int i = 0; i < 8; ++i)
    SetLoad("engine-" + std::to_string(i), 2);
  SetLoad(first, 4);
  BOOST_TEST(PlaceChat("chat") != first);
  SetLoad(first, 1);
  BOOST_TEST(PlaceChat("chat") == first);
}

BOOST_AUTO_TEST_CASE(no_chat_is_sent_to_a_zone_that_is_out_of_service) {
  node.Configure(test::DocumentWithModel("slots = 8\n") +
                 "[fleet]\nzones_out = a\n");
  for (int i = 0; i < 100; ++i) {
    const std::string endpoint =
        PlaceChat("chat-" + std::to_string(i), "engine-1");
    BOOST_TEST(node.directory.Find(endpoint)->zone == "b");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
