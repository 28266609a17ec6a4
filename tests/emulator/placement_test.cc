#include <boost/test/unit_test.hpp>

#include <string>

#include "libteaselthread/emulator/emulated_fleet.h"
#include "libteaselthread/emulator/experiment.h"

namespace teaselthread::emulator {
namespace {

// Operators accept that 3 in 100 requests of a five-second window go to an
// engine above the load bound.
constexpr double kMaxShareOverBound = 0.03;
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
    for (const WindowStats& window : RunProduct(scenario, seed).windows) {
      BOOST_TEST_INFO("seed " << seed << ", " << window.over_bound << " of "
                              << window.requests);
      BOOST_TEST(window.over_bound <= kMaxShareOverBound * window.requests);
    }
  }
}

BOOST_AUTO_TEST_SUITE(many_gateways_with_few_requests_each)

BOOST_AUTO_TEST_CASE(keep_the_load_bound_without_faults) {
  Scenario scenario = LoadScenario("hot-document.ini");
  scenario.hot.length = Duration::zero();
  CheckLoadBound(scenario);
}

// Guards against overload of one engine when half of the reviews are about the
// same document.
BOOST_AUTO_TEST_CASE(keep_the_load_bound_with_a_hot_document) {
  CheckLoadBound(LoadScenario("hot-document.ini"));
}

// Guards against overload of a few slow engines that fill up while each gateway
// sends them only one request every few seconds.
BOOST_AUTO_TEST_CASE(keep_the_load_bound_with_slow_engines) {
  CheckLoadBound(LoadScenario("slow-engines.ini"));
}

BOOST_AUTO_TEST_CASE(keep_the_load_bound_in_a_burst_and_after_a_crash) {
  CheckLoadBound(LoadScenario("burst-and-crash.ini"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_few_engines_with_all_requests)

// Guards against engines over the load bound while a zone is evacuated and
// engines of the other zones drain.
BOOST_AUTO_TEST_CASE(keep_the_load_bound) {
  CheckLoadBound(LoadScenario("few-engines.ini"));
}

// Guards against engines that fill up within the age of the counts: each of 88
// gateways sends them only one request at a time, so no gateway's own share of
// the bound limits their sum.
BOOST_AUTO_TEST_CASE(keep_the_load_bound_at_many_gateways) {
  CheckLoadBound(LoadScenario("evacuated-zone.ini"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(placement_by_the_state_of_gateways)

BOOST_AUTO_TEST_CASE(is_close_to_the_placement_of_an_oracle) {
  const std::vector<ExperimentRow> rows =
      RunExperiment(LoadScenario("burst-and-crash.ini"), 1);
  const ExperimentRow& product = rows.front();
  const ExperimentRow& oracle = rows.back();
  BOOST_REQUIRE(product.strategy == "product");
  BOOST_REQUIRE(oracle.strategy == "oracle");
  BOOST_TEST(product.requests == oracle.requests);
  // At least nine tenths of the tokens that the oracle reuses.
  BOOST_TEST(product.reused_tokens >= 0.9 * oracle.reused_tokens);
  BOOST_TEST(product.in_time >= 0.99 * oracle.in_time);
}

BOOST_AUTO_TEST_CASE(outperforms_every_baseline) {
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

BOOST_AUTO_TEST_CASE(reports_all_errors_at_once) {
  const Result<Scenario> scenario = Scenario::Parse(
      "[fleet]\nname = x\nengines = none\n[weather]\nrain = yes\n", "x.ini");
  BOOST_REQUIRE(!scenario);
  BOOST_TEST(scenario.reasons().size() == 3u);
}

BOOST_AUTO_TEST_CASE(gives_the_same_results_for_the_same_seed) {
  Scenario scenario = LoadScenario("hot-document.ini");
  scenario.length = std::chrono::seconds(5);
  BOOST_TEST((RunExperiment(scenario, 7) == RunExperiment(scenario, 7)));
  BOOST_TEST((RunExperiment(scenario, 7) != RunExperiment(scenario, 8)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread::emulator
