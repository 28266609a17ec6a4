#ifndef TEASELTHREAD_EMULATOR_EXPERIMENT_H_
#define TEASELTHREAD_EMULATOR_EXPERIMENT_H_

#include <string>
#include <vector>

#include "libteaselthread/emulator/scenario.h"

namespace teaselthread::emulator {

// Figures of one strategy under one scenario and seed. Shares are 0 to 1.
struct ExperimentRow {
  std::string scenario;
  std::string strategy;
  uint64_t seed = 0;
  uint64_t requests = 0;
  double in_time = 0;  // of the requests
  double median_first_token_seconds = 0;
  double p99_first_token_seconds = 0;
  double reused_tokens = 0;     // of the prompt tokens
  double copied_tokens = 0;     // likewise, among the reused ones
  double worst_over_bound = 0;  // of a window's requests
  uint32_t most_load = 0;       // of an engine

  friend auto operator<=>(const ExperimentRow&, const ExperimentRow&) = default;
};

// Runs each strategy under the scenario, with the same load for each.
std::vector<ExperimentRow> RunExperiment(const Scenario& scenario,
                                         uint64_t seed);

// A header and a line for each row, separated by tabs.
std::string ToTable(const std::vector<ExperimentRow>& rows);

}  // namespace teaselthread::emulator

#endif  // TEASELTHREAD_EMULATOR_EXPERIMENT_H_
