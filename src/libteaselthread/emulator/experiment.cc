#include "libteaselthread/emulator/experiment.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "libteaselthread/emulator/emulated_fleet.h"

namespace teaselthread::emulator {
namespace {

constexpr int kDecimals = 3;

double Share(uint64_t part, uint64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

ExperimentRow MakeRow(const FleetResult& result) {
  ExperimentRow row;
  row.requests = result.requests;
  row.in_time = Share(result.in_time, result.requests);
  row.median_first_token_seconds = result.FirstTokenQuantile(0.5);
  row.p99_first_token_seconds = result.FirstTokenQuantile(0.99);
  const uint64_t tokens = result.tokens_prefilled + result.tokens_reused;
  row.reused_tokens = Share(result.tokens_reused, tokens);
  row.copied_tokens = Share(result.tokens_copied, tokens);
  for (const WindowStats& window : result.windows) {
    row.worst_over_bound = std::max(row.worst_over_bound,
                                    Share(window.over_bound, window.requests));
  }
  row.max_load = result.max_load;
  return row;
}

}  // namespace

std::vector<ExperimentRow> RunExperiment(const Scenario& scenario,
                                         uint64_t seed) {
  ServiceSpec service;
  service.name = EmulatedFleet::kServiceName;
  std::vector<ExperimentRow> rows;
  for (const auto& strategy : AllStrategies(&service)) {
    EmulatedFleet fleet(&scenario, seed);
    ExperimentRow row = MakeRow(fleet.Run(strategy.get()));
    row.scenario = scenario.name;
    row.strategy = strategy->name();
    row.seed = seed;
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string ToTable(const std::vector<ExperimentRow>& rows) {
  std::ostringstream out;
  out << "scenario\tstrategy\tseed\trequests\tin_time\tmedian_first_token_s\t"
         "p99_first_token_s\treused_tokens\tcopied_tokens\t"
         "worst_over_bound\tmost_load\n"
      << std::fixed << std::setprecision(kDecimals);
  for (const ExperimentRow& row : rows) {
    out << row.scenario << '\t' << row.strategy << '\t' << row.seed << '\t'
        << row.requests << '\t' << row.in_time << '\t'
        << row.median_first_token_seconds << '\t' << row.p99_first_token_seconds
        << '\t' << row.reused_tokens << '\t' << row.copied_tokens << '\t'
        << row.worst_over_bound << '\t' << row.max_load << '\n';
  }
  return out.str();
}

}  // namespace teaselthread::emulator
