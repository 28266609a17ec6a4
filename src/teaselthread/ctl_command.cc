#include "teaselthread/ctl_command.h"

#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>

#include "libteaselthread/configuration.h"
#include "libteaselthread/configuration_command.h"
#include "libteaselthread/settings.h"
#include "teaselthread/configuration_announcer.h"
#include "teaselthread/configuration_writer.h"
#include "teaselthread/http_client.h"

namespace teaselthread {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(3);
constexpr int kOk = 200;

ExitCode Report(const std::vector<Error>& reasons) {
  for (const Error& reason : reasons)
    std::cerr << "teaselthread: " << Describe(reason) << "\n";
  switch (reasons.back().code) {
    case ErrorCode::kUnavailable:
    case ErrorCode::kConnectionLost:
      return ExitCode::kUnavailable;
    case ErrorCode::kConflict:
      return ExitCode::kConflict;
    case ErrorCode::kTimeout:
      return ExitCode::kUnknown;
    default:
      return ExitCode::kInvalid;
  }
}

ExitCode ReportUsage() {
  std::cerr << "teaselthread: unknown command; see teaselthread --help\n";
  return ExitCode::kUsage;
}

// Runs one coroutine to completion and returns its result.
template <typename T>
T RunToCompletion(asio::awaitable<T> task) {
  asio::io_context io(1);
  std::optional<T> result;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        result.emplace(co_await std::move(task));
      },
      asio::detached);
  io.run();
  return std::move(*result);
}

Result<IniDocument> LoadDocument(const std::string& file_name) {
  std::ifstream file(file_name);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return Error{ErrorCode::kUnreadableFile, file_name + ": cannot be read"};
  const Result<Configuration> checked =
      Configuration::Parse(text.str(), file_name, 1);
  if (!checked)
    return checked.reasons();
  return IniDocument::Parse(text.str(), file_name);
}

Result<PlatformClient> MakeClient(const CommandLine& command_line) {
  const Result<SocketAddress> address =
      SocketAddress::Parse(command_line.platform);
  if (!address)
    return address.last_reason();
  return PlatformClient(*address, kCallTimeout);
}

ExitCode ApplyCommand(const CommandLine& command_line,
                      const ConfigurationCommand& command,
                      bool retry_on_conflict) {
  const Result<PlatformClient> client = MakeClient(command_line);
  if (!client)
    return Report(client.reasons());
  const std::vector<std::string> nodes =
      RunToCompletion(ConfigurationAnnouncer::FindNodes(*client));
  ConfigurationWriter writer(*client);
  const Result<PlatformObject> accepted =
      RunToCompletion(writer.Apply(command, retry_on_conflict));
  if (!accepted)
    return Report(accepted.reasons());
  const Announcement announcement =
      ConfigurationAnnouncer::Announce(nodes, *accepted);
  std::cout << "accepted as version " << accepted->version << ", in force on "
            << announcement.in_force << " of " << announcement.notified
            << " nodes told\n";
  return ExitCode::kSuccess;
}

ExitCode RunValidate(const CommandLine& command_line) {
  const Result<IniDocument> document = LoadDocument(command_line.arguments[2]);
  if (!document)
    return Report(document.reasons());
  std::cout << command_line.arguments[2] << ": valid\n";
  return ExitCode::kSuccess;
}

ExitCode RunApply(const CommandLine& command_line) {
  Result<IniDocument> document = LoadDocument(command_line.arguments[2]);
  if (!document)
    return Report(document.reasons());
  return ApplyCommand(command_line,
                      ReplaceDocumentCommand(document.TakeValue()),
                      /*retry_on_conflict=*/false);
}

ExitCode RunShow(const CommandLine& command_line) {
  const Result<PlatformClient> client = MakeClient(command_line);
  if (!client)
    return Report(client.reasons());
  ConfigurationWriter writer(*client);
  const Result<PlatformObject> current = RunToCompletion(writer.ReadCurrent());
  if (!current)
    return Report(current.reasons());
  std::cout << "; version " << current->version << "\n" << current->value;
  return ExitCode::kSuccess;
}

ExitCode RunStatus(const CommandLine& command_line) {
  const Result<SocketAddress> address = SocketAddress::Parse(command_line.node);
  if (!address) {
    std::cerr << "teaselthread: --node: " << address.last_reason().detail
              << "\n";
    return ExitCode::kUsage;
  }
  const Result<HttpReply> ready = RunToCompletion(
      HttpCall(*address, http::verb::get, "/readyz", "", kCallTimeout));
  if (!ready)
    return Report(ready.reasons());
  const Result<HttpReply> metrics = RunToCompletion(
      HttpCall(*address, http::verb::get, "/metrics", "", kCallTimeout));
  if (!metrics)
    return Report(metrics.reasons());
  std::cout << ready->body << metrics->body;
  return ready->status == kOk ? ExitCode::kSuccess : ExitCode::kUnavailable;
}

ExitCode RunFleetChange(const CommandLine& command_line) {
  const std::vector<std::string>& arguments = command_line.arguments;
  const bool is_out = arguments[2] == "out";
  if (!is_out && arguments[2] != "in")
    return ReportUsage();
  const auto change = is_out ? FleetListCommand::Change::kAdd
                             : FleetListCommand::Change::kRemove;
  const auto command = arguments[1] == "zone"
                           ? FleetListCommand::ForZone(change, arguments[3])
                           : FleetListCommand::ForVm(change, arguments[3]);
  return ApplyCommand(command_line, *command, /*retry_on_conflict=*/true);
}

struct CtlCommand {
  std::string_view name;
  size_t argument_count;
  ExitCode (*run)(const CommandLine&);
};

constexpr CtlCommand kCommands[] = {
    {"validate", 3, RunValidate}, {"apply", 3, RunApply},
    {"show", 2, RunShow},         {"status", 2, RunStatus},
    {"zone", 4, RunFleetChange},  {"vm", 4, RunFleetChange},
};

}  // namespace

ExitCode RunCtl(const CommandLine& command_line) {
  const std::vector<std::string>& arguments = command_line.arguments;
  for (const CtlCommand& command : kCommands) {
    if (arguments.size() == command.argument_count &&
        arguments[1] == command.name)
      return command.run(command_line);
  }
  return ReportUsage();
}

}  // namespace teaselthread
