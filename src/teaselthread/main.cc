#include <spdlog/spdlog.h>

#include <fstream>
#include <iostream>

#include "libteaselthread/emulator/experiment.h"
#include "platform/platform_codec.h"
#include "teaselthread/command_line.h"
#include "teaselthread/ctl_command.h"
#include "teaselthread/exit_code.h"
#include "teaselthread/gateway/gateway.h"
#include "teaselthread/node.h"
#include "teaselthread/request_timeline.h"

namespace teaselthread {
namespace {

constexpr char kVersion[] = "teaselthread 0.1.0";
// Each scenario runs with this many seeds, so that the table shows how far its
// figures vary by chance.
constexpr uint64_t kExperimentSeeds = 3;

ExitCode ReportAll(const std::vector<Error>& reasons, ExitCode code) {
  for (const Error& reason : reasons)
    std::cerr << "teaselthread: " << Describe(reason) << "\n";
  return code;
}

ExitCode RunNode(const CommandLine& command_line) {
  if (command_line.config_file.empty()) {
    std::cerr << "teaselthread: node needs --config FILE\n";
    return ExitCode::kUsage;
  }
  Result<Settings> settings = Settings::Load(command_line.config_file);
  if (!settings)
    return ReportAll(settings.reasons(), ExitCode::kInvalid);
  if (command_line.check) {
    std::cout << command_line.config_file << ": valid\n";
    return ExitCode::kSuccess;
  }
  spdlog::set_level(spdlog::level::from_str(settings->log_level()));
  spdlog::flush_on(spdlog::level::info);
  const Result<int> ended = Node::Run(settings.TakeValue());
  return ended ? ExitCode::kSuccess
               : ReportAll(ended.reasons(), ExitCode::kUnavailable);
}

ExitCode RunGateway(const CommandLine& command_line) {
  if (command_line.config_file.empty()) {
    std::cerr << "teaselthread: gateway needs --config FILE\n";
    return ExitCode::kUsage;
  }
  Result<GatewaySettings> settings =
      GatewaySettings::Load(command_line.config_file);
  if (!settings)
    return ReportAll(settings.reasons(), ExitCode::kInvalid);
  if (command_line.check) {
    std::cout << command_line.config_file << ": valid\n";
    return ExitCode::kSuccess;
  }
  if (command_line.print_settings) {
    std::cout << settings->ToText();
    return ExitCode::kSuccess;
  }
  const platform::PlatformCodec codec;
  const Result<int> ended =
      Gateway::Run(settings.TakeValue(), &codec, command_line.config_file);
  return ended ? ExitCode::kSuccess
               : ReportAll(ended.reasons(), ExitCode::kUnavailable);
}

// `arguments`: "explain", the id of a request, and log files. Reads standard
// input if there are no log files.
ExitCode Explain(const std::vector<std::string>& arguments) {
  RequestTimeline timeline(arguments[1]);
  if (arguments.size() == 2)
    timeline.Read(std::cin, "-");
  for (size_t i = 2; i < arguments.size(); ++i) {
    std::ifstream log(arguments[i]);
    if (!log) {
      std::cerr << "teaselthread: " << arguments[i] << ": cannot be read\n";
      return ExitCode::kInvalid;
    }
    timeline.Read(log, arguments[i]);
  }
  const std::string text = timeline.Tell();
  std::cout << text;
  if (!text.empty())
    return ExitCode::kSuccess;
  std::cerr << "teaselthread: no log line names the request " << arguments[1]
            << "\n";
  return ExitCode::kInvalid;
}

// `arguments`: "experiment" and scenario files. Prints a table of results.
ExitCode Experiment(const std::vector<std::string>& arguments) {
  std::vector<emulator::ExperimentRow> rows;
  for (size_t i = 1; i < arguments.size(); ++i) {
    const Result<emulator::Scenario> scenario =
        emulator::Scenario::Load(arguments[i]);
    if (!scenario)
      return ReportAll(scenario.reasons(), ExitCode::kInvalid);
    for (uint64_t seed = 1; seed <= kExperimentSeeds; ++seed) {
      for (auto& row : emulator::RunExperiment(*scenario, seed))
        rows.push_back(std::move(row));
    }
  }
  std::cout << emulator::ToTable(rows);
  return ExitCode::kSuccess;
}

ExitCode Run(int argc, const char** argv) {
  const Result<CommandLine> command_line = CommandLine::Parse(argc, argv);
  if (!command_line)
    return ReportAll(command_line.reasons(), ExitCode::kUsage);
  if (command_line->version) {
    std::cout << kVersion << "\n";
    return ExitCode::kSuccess;
  }
  const std::vector<std::string>& arguments = command_line->arguments;
  if (arguments.size() == 1 && arguments[0] == "node")
    return RunNode(*command_line);
  if (arguments.size() == 1 && arguments[0] == "gateway")
    return RunGateway(*command_line);
  if (arguments.size() >= 2 && arguments[0] == "ctl")
    return RunCtl(*command_line);
  if (arguments.size() >= 2 && arguments[0] == "explain")
    return Explain(arguments);
  if (arguments.size() >= 2 && arguments[0] == "experiment")
    return Experiment(arguments);
  std::cerr << "teaselthread: expected gateway, explain, experiment, node "
               "or ctl; see teaselthread --help\n";
  return ExitCode::kUsage;
}

}  // namespace
}  // namespace teaselthread

int main(int argc, const char** argv) {
  return static_cast<int>(teaselthread::Run(argc, argv));
}
