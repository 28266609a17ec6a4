#include <boost/test/unit_test.hpp>

#include <string>

#include "libteaselthread/emulator/emulated_fleet.h"
#include "libteaselthread/emulator/experiment.h"

namespace teaselthread::emulator {
namespace {

// The operators' bound: 3 in 100 requests within five seconds.
constexpr double kMostOverBound = 0.03;
constexpr uint64_t kSeeds = 3;

Scenario LoadScenario(const std::string& name) {
  Result<Scenario> scenario = Scenario::Load(
      std::string(TEASELTHREAD_SOURCE_DIR) + "/bench/scenarios/" + name);
  BOOST_REQUIRE_MESSAGE(scenario, name);
  return scenario.TakeValue();
}

FleetResult RunProduct(const Scenario& scenario, uint64_t seed) {
  ServiceSpec service;
  service.name = EmulatedFleet::kServiceName;
  EmulatedFleet fleet(&scenario, seed);
  return fleet.Run(AllStrategies(&service).front().get());
}

void CheckLoadBound(const Scenario& scenario) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const WindowCounts& window : RunProduct(scenario, seed).windows) {
      BOOST_TEST_INFO("seed " << seed << ", " << window.over_bound << " of "
                              << window.requests);
      BOOST_TEST(window.over_bound <= kMostOverBound * window.requests);
    }
  }
}

BOOST_AUTO_TEST_SUITE(many_gateways_that_each_see_few_requests)

BOOST_AUTO_TEST_CASE(keep_to_the_load_bound_on_a_calm_day) {
  Scenario scenario = LoadScenario("hot-document.ini");
  scenario.hot.length = Duration::zero();
  CheckLoadBound(scenario);
}

// Replays a day on which half of the reviews were of one document.
BOOST_AUTO_TEST_CASE(keep_to_the_load_bound_with_a_hot_document) {
  CheckLoadBound(LoadScenario("hot-document.ini"));
}

// Replays a day on which a few engines answered slowly and filled up, while
// each gateway sent them a request every few seconds.
BOOST_AUTO_TEST_CASE(keep_to_the_load_bound_with_slow_engines) {
  CheckLoadBound(LoadScenario("slow-engines.ini"));
}

BOOST_AUTO_TEST_CASE(keep_to_the_load_bound_in_a_burst_and_after_a_crash) {
  CheckLoadBound(LoadScenario("burst-and-crash.ini"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(placement_by_what_gateways_know)

BOOST_AUTO_TEST_CASE(is_close_to_that_by_an_oracle) {
  const std::vector<ExperimentRow> rows =
      RunExperiment(LoadScenario("burst-and-crash.ini"), 1);
  const ExperimentRow& product = rows.front();
  const ExperimentRow& oracle = rows.back();
  BOOST_REQUIRE(product.strategy == "product");
  BOOST_REQUIRE(oracle.strategy == "oracle");
  BOOST_TEST(product.requests == oracle.requests);
  // Nine tenths of the context that could be reused is.
  BOOST_TEST(product.reused_tokens >= 0.9 * oracle.reused_tokens);
  BOOST_TEST(product.in_time >= 0.99 * oracle.in_time);
}

BOOST_AUTO_TEST_CASE(serves_better_than_any_that_does_without_it) {
  for (const std::string name : {"hot-document.ini", "slow-engines.ini"}) {
    const std::vector<ExperimentRow> rows =
        RunExperiment(LoadScenario(name), 1);
    for (size_t i = 1; i + 1 < rows.size(); ++i) {
      BOOST_TEST_INFO(name << ", " << rows[i].strategy);
      BOOST_TEST(rows.front().in_time > rows[i].in_time);
      BOOST_TEST(rows.front().p99_first_token_seconds <
                 rows[i].p99_first_token_seconds);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_scenario)

BOOST_AUTO_TEST_CASE(names_every_error_at_once) {
  const Result<Scenario> scenario = Scenario::Parse(
      "[fleet]\nname = x\nengines = none\n[weather]\nrain = yes\n", "x.ini");
  BOOST_REQUIRE(!scenario);
  BOOST_TEST(scenario.reasons().size() == 3u);
}

BOOST_AUTO_TEST_CASE(gives_the_same_figures_for_the_same_seed) {
  Scenario scenario = LoadScenario("hot-document.ini");
  scenario.length = std::chrono::seconds(5);
  BOOST_TEST((RunExperiment(scenario, 7) == RunExperiment(scenario, 7)));
  BOOST_TEST((RunExperiment(scenario, 7) != RunExperiment(scenario, 8)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread::emulator
