#ifndef TEASELTHREAD_EMULATOR_EXPERIMENT_H_
#define TEASELTHREAD_EMULATOR_EXPERIMENT_H_

#include <string>
#include <vector>

#include "libteaselthread/emulator/scenario.h"

namespace teaselthread::emulator {

// Results of one strategy under one scenario and seed. Shares are 0 to 1.
struct ExperimentRow {
  std::string scenario;
  std::string strategy;
  uint64_t seed = 0;
  uint64_t requests = 0;
  double in_time = 0;  // share of requests
  double median_first_token_seconds = 0;
  double p99_first_token_seconds = 0;
  double reused_tokens = 0;     // share of prompt tokens
  double copied_tokens = 0;     // share of prompt tokens; also reused
  double worst_over_bound = 0;  // highest share of a window's requests
  uint32_t max_load = 0;        // highest load of any engine

  friend auto operator<=>(const ExperimentRow&, const ExperimentRow&) = default;
};

// Runs every strategy under the same load of the scenario.
std::vector<ExperimentRow> RunExperiment(const Scenario& scenario,
                                         uint64_t seed);

// Tab-separated values: a header line and one line per row.
std::string ToTable(const std::vector<ExperimentRow>& rows);

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_EXPERIMENT_H_
