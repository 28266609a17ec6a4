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
    SelectionContext context;
    context.zone = zone;
    context.node = "node-" + zone;
    context.nodes = {"node-a", "node-b", "node-c"};
    context.cold_over = 1.5;
    context.cold_slack = 5;
    return selector.Select(query, context, now);
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

  // All engines are warm at this time.
  Timestamp now = At(seconds(30));
  RouteTable routes;
  EndpointTable table;
  EndpointSelector selector;
};

BOOST_FIXTURE_TEST_SUITE(a_long_shared_part_has_a_primary_engine,
                         SelectorFixture)

BOOST_AUTO_TEST_CASE(and_nodes_of_all_zones_choose_the_same_one) {
  BOOST_TEST(Choose(kLongPrompt, "a") == Choose(kLongPrompt, "b"));
  BOOST_TEST(Choose(kLongPrompt, "a") == Choose(kLongPrompt, "c"));
  BOOST_TEST(!Select(kLongPrompt).kv_source.has_value());
}

BOOST_AUTO_TEST_CASE(a_short_part_has_a_primary_engine_in_each_zone) {
  for (const std::string zone : {"a", "b", "c"})
    BOOST_TEST(Select(kShortPrompt, zone).endpoint->record().zone == zone);
}

BOOST_AUTO_TEST_CASE(requests_above_the_load_bound_go_to_other_engines) {
  // A document that gets a fifth of all requests.
  const std::string primary = Choose(kLongPrompt);
  std::map<std::string, int> sent;
  for (int i = 0; i < 60; ++i) {
    const Selection selection = Select(kLongPrompt);
    ++sent[selection.endpoint->record().id];
    selection.endpoint->OnSend(now);
    const bool on_primary = selection.endpoint->record().id == primary;
    BOOST_TEST(selection.kv_source.has_value() == !on_primary);
    const auto others = table.Available("pool", now);
    for (int other = 0; other < 4; ++other)
      others[(i * 4 + other) % others.size()]->OnSend(now);
  }
  double total = 0;
  double most = 0;
  for (const EndpointPtr& engine : table.Available("pool", now)) {
    total += engine->EstimatedLoad(now);
    most = std::max(most, engine->EstimatedLoad(now));
  }
  // The operators' bound is 2 x mean + 3.
  BOOST_TEST(most <= 2 * total / kEngines + 3);
  BOOST_TEST(sent.size() > 1u);
}

BOOST_AUTO_TEST_CASE(at_low_load_all_requests_go_to_it) {
  // Two requests at the primary engine of an otherwise idle service do not
  // justify a prefill of the part elsewhere.
  const std::string primary = Choose(kLongPrompt);
  for (int i = 0; i < 2; ++i)
    Select(kLongPrompt).endpoint->OnSend(now);
  BOOST_TEST(Choose(kLongPrompt) == primary);
}

BOOST_AUTO_TEST_SUITE(when_engines_change)

BOOST_FIXTURE_TEST_CASE(a_new_primary_engine_copies_from_the_previous_one,
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

// Regression test: restarted gateways treated every engine as new, so parts
// were prefilled again instead of copied.
BOOST_FIXTURE_TEST_CASE(a_restarted_gateway_recognizes_new_engines,
                        SelectorFixture) {
  EndpointRecord leaving = Select(kLongPrompt).endpoint->record();
  leaving.draining = true;
  EndpointTable new_table;
  new_table.SetServices(routes);
  for (const EndpointPtr& engine : table.Running("pool"))
    new_table.Put(engine->record(), At(seconds(29)));
  new_table.Put(leaving, At(seconds(30)));
  selector = EndpointSelector(&new_table);
  const Selection moved = Select(kLongPrompt);
  BOOST_TEST(moved.endpoint->record().id != leaving.id);
  BOOST_REQUIRE(moved.kv_source.has_value());
  BOOST_TEST(moved.kv_source->ToString() == leaving.address.ToString());
}

BOOST_FIXTURE_TEST_CASE(a_cold_primary_engine_is_limited_to_the_nodes_share,
                        SelectorFixture) {
  const std::string primary = Choose(kLongPrompt);
  table.SetEvacuatedZones({"a", "b", "c"}, now);
  table.SetEvacuatedZones({}, now);
  int on_primary = 0;
  for (int i = 0; i < 50; ++i) {
    const SelectionResult result = Try(kLongPrompt);
    const auto* selection = std::get_if<Selection>(&result);
    if (!selection)
      continue;
    selection->endpoint->OnSend(now);
    on_primary += selection->endpoint->record().id == primary ? 1 : 0;
  }
  // The limit is 10 x 1.5 + 5 requests per second for all three nodes together.
  BOOST_TEST(on_primary >= 1);
  BOOST_TEST(on_primary <= 20 / 3);
}

// Regression test: an evacuated zone is readmitted with cold engines in a fleet
// of many gateways, most of which have no share of the engines' cold-start
// limits. A gateway took the mean load only over engines that it could use
// itself, so engines in the other zones had up to 2.4 times the overall mean.
BOOST_FIXTURE_TEST_CASE(cold_engines_are_included_in_the_mean_load,
                        SelectorFixture) {
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
  SelectionContext context;
  context.zone = "b";
  context.cold_over = 1.5;
  context.cold_slack = 5;
  context.service_requests = kRequests;
  for (int i = 0; i < 60; ++i)
    context.nodes.push_back("node-" + std::to_string(i));
  for (const std::string& node : context.nodes) {
    context.node = node;
    const SelectionResult result = selector.Select(query, context, now);
    BOOST_TEST(std::get<Selection>(result).load_bound < kOperatorsBound);
  }
}

BOOST_AUTO_TEST_SUITE_END()

// Load pattern: a zone is evacuated and engines of the others drain, so that a
// few engines get all requests of the service.
BOOST_AUTO_TEST_SUITE(when_few_engines_are_usable)

struct FewEnginesFixture : SelectorFixture {
  FewEnginesFixture() {
    table.SetEvacuatedZones({"a"}, now);
    for (const EndpointPtr& engine : table.Available("pool", now)) {
      if (table.Available("pool", now).size() <= 2)
        break;
      EndpointRecord record = engine->record();
      record.draining = true;
      table.Put(record, now);
    }
  }

  SelectionResult TryWith(double service_requests, size_t nodes) const {
    SelectionQuery query;
    query.service = routes.FindService("pool");
    query.prompt = kLongPrompt;
    SelectionContext context;
    context.zone = "b";
    context.node = "node-0";
    for (size_t i = 0; i < nodes; ++i)
      context.nodes.push_back("node-" + std::to_string(i));
    context.service_requests = service_requests;
    return selector.Select(query, context, now);
  }
  void ReportAll(uint32_t running) {
    for (const EndpointPtr& engine : table.Available("pool", now))
      engine->OnReport({running, 0}, now);
  }
};

BOOST_FIXTURE_TEST_CASE(draining_engines_do_not_count_for_the_mean_load,
                        FewEnginesFixture) {
  const auto selection = std::get<Selection>(TryWith(20, 1));
  BOOST_TEST(selection.engines_counted == 5u);
  BOOST_TEST(selection.engines_usable == 2u);
  BOOST_TEST(selection.mean_load == 4);
}

BOOST_FIXTURE_TEST_CASE(none_gets_a_request_at_the_operators_bound,
                        FewEnginesFixture) {
  // The operators' bound is 2 x 20 / 5 + 3 = 11.
  ReportAll(11);
  const SelectionResult result = TryWith(20, 1);
  BOOST_REQUIRE(std::holds_alternative<NoEndpointReason>(result));
  BOOST_TEST(
      (std::get<NoEndpointReason>(result) == NoEndpointReason::kAllAtBound));
  ReportAll(8);
  BOOST_TEST(std::holds_alternative<Selection>(TryWith(20, 1)));
}

// Regression test: nine nodes sent up to 26 requests to one engine before its
// next count, each of them within the bound by its own estimate.
BOOST_FIXTURE_TEST_CASE(each_node_sends_only_its_share_before_the_next_count,
                        FewEnginesFixture) {
  constexpr size_t kNodes = 9;
  std::map<std::string, uint32_t> sent;
  for (int i = 0; i < 20; ++i) {
    const SelectionResult result = TryWith(20, kNodes);
    if (std::holds_alternative<NoEndpointReason>(result))
      break;
    const EndpointPtr& engine = std::get<Selection>(result).endpoint;
    engine->OnSend(now);
    ++sent[engine->record().id];
  }
  BOOST_TEST(sent.size() == 2u);
  for (const auto& [id, count] : sent)
    BOOST_TEST(count == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_engines_fail)

// Regression test: two hunted days on which one of three zones was evacuated.
// The mean load was taken over the engines of the other two, so engines had up
// to 2.4 times the overall mean.
BOOST_FIXTURE_TEST_CASE(evacuated_engines_are_included_in_the_mean_load,
                        SelectorFixture) {
  table.SetEvacuatedZones({"a"}, now);
  constexpr double kRequests = 90;
  constexpr double kOperatorsBound = 2 * kRequests / kEngines + 3;
  SelectionQuery query;
  query.service = routes.FindService("pool");
  query.prompt = kLongPrompt;
  SelectionContext context;
  context.zone = "b";
  context.service_requests = kRequests;
  const SelectionResult result = selector.Select(query, context, now);
  BOOST_TEST(std::get<Selection>(result).load_bound < kOperatorsBound);
}

BOOST_FIXTURE_TEST_CASE(an_ejected_engine_is_skipped_and_later_retried,
                        SelectorFixture) {
  const Selection first = Select(kLongPrompt);
  first.endpoint->health().OnUnreachable(now);
  BOOST_TEST(Choose(kLongPrompt) != first.endpoint->record().id);
  now += seconds(1);
  BOOST_TEST(Choose(kLongPrompt) == first.endpoint->record().id);
}

BOOST_FIXTURE_TEST_CASE(ejections_are_ignored_if_all_engines_are_ejected,
                        SelectorFixture) {
  for (const EndpointPtr& engine : table.Available("pool", now))
    engine->health().OnUnreachable(now);
  BOOST_TEST(std::holds_alternative<Selection>(Try(kLongPrompt)));
}

BOOST_FIXTURE_TEST_CASE(a_request_is_not_sent_to_the_same_engine_twice,
                        SelectorFixture) {
  const std::string first = Choose(kLongPrompt);
  BOOST_TEST(Choose(kLongPrompt, "a", {first}) != first);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_plain_service_is_called_in_the_same_zone,
                         SelectorFixture)

BOOST_AUTO_TEST_CASE(until_that_zone_is_busy) {
  BOOST_TEST(Choose({}, "b") == "desk-b");
  for (int i = 0; i < 5; ++i)
    Select({}, "b").endpoint->OnSend(now);
  BOOST_TEST(Choose({}, "b") != "desk-b");
}

BOOST_AUTO_TEST_CASE(or_has_no_endpoint) {
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
