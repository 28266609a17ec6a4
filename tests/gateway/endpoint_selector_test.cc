#include <boost/test/unit_test.hpp>

#include <map>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/endpoints/endpoint_selector.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;
using test::MakeDeskRecord;
using test::MakeEngineRecord;
using test::MakeRoutes;

constexpr int kEngines = 9;
const std::vector<PromptPart> kLongPrompt = {{"system", 512},
                                             {"dossier-7", 10'000},
                                             {"own", 1'300}};
const std::vector<PromptPart> kShortPrompt = {{"system", 119},
                                              {"certificate-3", 580},
                                              {"own", 130}};

// Nine warm engines and three desks in three availability zones.
struct SelectorFixture {
  SelectorFixture() : routes(MakeRoutes()), selector(&table) {
    table.SetServices(routes);
    const std::string zones[] = {"a", "b", "c"};
    for (int i = 0; i < kEngines; ++i) {
      EndpointRecord record =
          MakeEngineRecord("engine-" + std::to_string(i), zones[i % 3]);
      record.address = {"192.0.2." + std::to_string(i + 1), 8080};
      table.Put(record, At(seconds(0)));
    }
    for (const std::string& zone : zones)
      table.Put(MakeDeskRecord("desk-" + zone, zone), At(seconds(0)));
  }

  SelectionResult Try(const std::vector<PromptPart>& prompt,
                      const std::string& zone = "a",
                      std::set<std::string> excluded = {}) const {
    SelectionQuery query;
    query.service = routes.FindService(prompt.empty() ? "desk" : "pool");
    query.prompt = prompt;
    query.excluded = std::move(excluded);
    SelectionContext view;
    view.zone = zone;
    view.node = "node-" + zone;
    view.nodes = {"node-a", "node-b", "node-c"};
    view.cold_over = 1.5;
    view.cold_slack = 5;
    return selector.Select(query, view, now);
  }

  Selection Select(const std::vector<PromptPart>& prompt,
                   const std::string& zone = "a",
                   std::set<std::string> excluded = {}) const {
    return std::get<Selection>(Try(prompt, zone, std::move(excluded)));
  }

  std::string Choose(const std::vector<PromptPart>& prompt,
                     const std::string& zone = "a",
                     std::set<std::string> excluded = {}) const {
    return Select(prompt, zone, std::move(excluded)).endpoint->record().id;
  }

  // Engines are warm by then.
  Timestamp now = At(seconds(30));
  RouteTable routes;
  EndpointTable table;
  EndpointSelector selector;
};

BOOST_FIXTURE_TEST_SUITE(a_long_shared_part_has_a_home_engine, SelectorFixture)

BOOST_AUTO_TEST_CASE(that_nodes_of_all_zones_agree_on) {
  BOOST_TEST(Choose(kLongPrompt, "a") == Choose(kLongPrompt, "b"));
  BOOST_TEST(Choose(kLongPrompt, "a") == Choose(kLongPrompt, "c"));
  BOOST_TEST(!Select(kLongPrompt).kv_source.has_value());
}

BOOST_AUTO_TEST_CASE(a_short_part_has_one_in_each_zone) {
  for (const std::string zone : {"a", "b", "c"})
    BOOST_TEST(Select(kShortPrompt, zone).endpoint->record().zone == zone);
}

BOOST_AUTO_TEST_CASE(which_passes_on_what_is_above_the_load_bound) {
  // Replays a document that gets a fifth of all requests.
  const std::string home = Choose(kLongPrompt);
  std::map<std::string, int> sent;
  for (int i = 0; i < 60; ++i) {
    const Selection selection = Select(kLongPrompt);
    ++sent[selection.endpoint->record().id];
    selection.endpoint->OnSend(now);
    const bool at_home = selection.endpoint->record().id == home;
    BOOST_TEST(selection.kv_source.has_value() == !at_home);
    const auto others = table.Available("pool");
    for (int other = 0; other < 4; ++other)
      others[(i * 4 + other) % others.size()]->OnSend(now);
  }
  double total = 0;
  double most = 0;
  for (const EndpointPtr& engine : table.Available("pool")) {
    total += engine->EstimatedLoad(now);
    most = std::max(most, engine->EstimatedLoad(now));
  }
  // The operators' bound is 2 x mean + 3.
  BOOST_TEST(most <= 2 * total / kEngines + 3);
  BOOST_TEST(sent.size() > 1u);
}

BOOST_AUTO_TEST_CASE(that_keeps_it_at_low_load) {
  // Two requests at the home of an idle service are no reason to read the
  // part elsewhere.
  const std::string home = Choose(kLongPrompt);
  for (int i = 0; i < 2; ++i)
    Select(kLongPrompt).endpoint->OnSend(now);
  BOOST_TEST(Choose(kLongPrompt) == home);
}

BOOST_AUTO_TEST_SUITE(when_engines_change)

BOOST_FIXTURE_TEST_CASE(a_new_home_copies_from_the_one_before,
                        SelectorFixture) {
  const Selection before = Select(kLongPrompt);
  for (int i = 0; i < 200; ++i) {
    EndpointRecord record = MakeEngineRecord("new-" + std::to_string(i), "b");
    record.started_at_ms += 20'000;
    table.Put(record, At(seconds(20)));
  }
  const Selection after = Select(kLongPrompt);
  BOOST_TEST(after.endpoint->record().id.substr(0, 4) == "new-");
  BOOST_REQUIRE(after.kv_source.has_value());
  BOOST_TEST(after.kv_source->ToString() ==
             before.endpoint->record().address.ToString());
}

// Replays a day on which gateways restarted and took every engine for new, so
// that parts were read again instead of copied.
BOOST_FIXTURE_TEST_CASE(a_restarted_gateway_still_knows_which_are_new,
                        SelectorFixture) {
  EndpointRecord leaving = Select(kLongPrompt).endpoint->record();
  leaving.draining = true;
  EndpointTable fresh;
  fresh.SetServices(routes);
  for (const EndpointPtr& engine : table.Running("pool"))
    fresh.Put(engine->record(), At(seconds(29)));
  fresh.Put(leaving, At(seconds(30)));
  selector = EndpointSelector(&fresh);
  const Selection moved = Select(kLongPrompt);
  BOOST_TEST(moved.endpoint->record().id != leaving.id);
  BOOST_REQUIRE(moved.kv_source.has_value());
  BOOST_TEST(moved.kv_source->ToString() == leaving.address.ToString());
}

BOOST_FIXTURE_TEST_CASE(a_cold_home_gets_no_more_than_its_share,
                        SelectorFixture) {
  const std::string home = Choose(kLongPrompt);
  table.SetEvacuatedZones({"a", "b", "c"}, now);
  table.SetEvacuatedZones({}, now);
  int at_home = 0;
  for (int i = 0; i < 50; ++i) {
    const SelectionResult result = Try(kLongPrompt);
    const auto* selection = std::get_if<Selection>(&result);
    if (!selection)
      continue;
    selection->endpoint->OnSend(now);
    at_home += selection->endpoint->record().id == home ? 1 : 0;
  }
  // 10 x 1.5 + 5 a second for all of three nodes.
  BOOST_TEST(at_home >= 1);
  BOOST_TEST(at_home <= 20 / 3);
}

// Replays a zone that was taken back, its engines cold, in a fleet of many
// gateways: most have no share of their limits. The engines of the other zones
// had up to 2.4 times the mean of all, since a gateway took the mean of those
// it might use itself.
BOOST_FIXTURE_TEST_CASE(cold_engines_count_for_the_mean_load, SelectorFixture) {
  for (int i = 0; i < kEngines; i += 3) {
    EndpointRecord record =
        MakeEngineRecord("engine-" + std::to_string(i), "a");
    record.started_at_ms += 30'000;
    record.cold_left = seconds(3);
    table.Put(record, now);
  }
  constexpr double kRequests = 90;
  constexpr double kOperatorsBound = 2 * kRequests / kEngines + 3;
  SelectionQuery query;
  query.service = routes.FindService("pool");
  query.prompt = kLongPrompt;
  SelectionContext view;
  view.zone = "b";
  view.cold_over = 1.5;
  view.cold_slack = 5;
  view.service_requests = kRequests;
  for (int i = 0; i < 60; ++i)
    view.nodes.push_back("node-" + std::to_string(i));
  for (const std::string& node : view.nodes) {
    view.node = node;
    const SelectionResult result = selector.Select(query, view, now);
    BOOST_TEST(std::get<Selection>(result).load_bound < kOperatorsBound);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_engines_fail)

BOOST_FIXTURE_TEST_CASE(an_ejected_engine_is_left_out_and_tried_again,
                        SelectorFixture) {
  const Selection first = Select(kLongPrompt);
  first.endpoint->health().OnUnreachable(now);
  BOOST_TEST(Choose(kLongPrompt) != first.endpoint->record().id);
  now += seconds(1);
  BOOST_TEST(Choose(kLongPrompt) == first.endpoint->record().id);
}

BOOST_FIXTURE_TEST_CASE(what_fails_everywhere_is_not_held_against_any,
                        SelectorFixture) {
  for (const EndpointPtr& engine : table.Available("pool"))
    engine->health().OnUnreachable(now);
  BOOST_TEST(std::holds_alternative<Selection>(Try(kLongPrompt)));
}

BOOST_FIXTURE_TEST_CASE(a_request_is_not_sent_to_one_engine_twice,
                        SelectorFixture) {
  const std::string first = Choose(kLongPrompt);
  BOOST_TEST(Choose(kLongPrompt, "a", {first}) != first);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_plain_service_is_called_nearby, SelectorFixture)

BOOST_AUTO_TEST_CASE(until_the_own_zone_is_busy) {
  BOOST_TEST(Choose({}, "b") == "desk-b");
  for (int i = 0; i < 5; ++i)
    Select({}, "b").endpoint->OnSend(now);
  BOOST_TEST(Choose({}, "b") != "desk-b");
}

BOOST_AUTO_TEST_CASE(or_is_gone) {
  table.Remove("desk-b", now);
  BOOST_TEST(Choose({}, "b") != "desk-b");
  table.Remove("desk-a", now);
  table.Remove("desk-c", now);
  const SelectionResult none = Try({}, "b");
  BOOST_TEST(
      (std::get<NoEndpointReason>(none) == NoEndpointReason::kNoneAvailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
