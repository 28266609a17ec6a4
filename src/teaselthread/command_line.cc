#include "teaselthread/command_line.h"

#include <popt.h>

#include <cstdlib>
#include <memory>

namespace teaselthread {
namespace {

constexpr char kUsage[] =
    "COMMAND\n\n"
    "Commands:\n"
    "  gateway --config FILE [--check]  run a gateway on the users' platform, "
    "or only check its settings\n"
    "  explain ID [LOG...]              show what happened to a request, from "
    "gateways' logs\n"
    "  experiment SCENARIO...           compare placement strategies on "
    "emulated engines\n"
    "  node --config FILE [--check]     run a node, or only check its "
    "settings\n"
    "  ctl validate FILE                check a configuration document\n"
    "  ctl apply FILE                   replace the configuration document\n"
    "  ctl show                         print the document in force\n"
    "  ctl status --node ADDRESS        print a node's readiness and gauges\n"
    "  ctl zone out|in NAME             take an availability zone out or in\n"
    "  ctl vm out|in NAME               take a VM out or in\n";

// Owns a string that popt has allocated.
struct FreeText {
  void operator()(char* text) const { std::free(text); }
};
using PoptText = std::unique_ptr<char, FreeText>;

struct FreeContext {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

}  // namespace

Result<CommandLine> CommandLine::Parse(int argc, const char** argv) {
  int version = 0;
  int check = 0;
  int print_settings = 0;
  char* config_file = nullptr;
  char* platform = nullptr;
  char* node = nullptr;
  const poptOption options[] = {
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version",
       nullptr},
      {"config", 'c', POPT_ARG_STRING, &config_file, 0,
       "the node's settings, an INI file", "FILE"},
      {"check", 0, POPT_ARG_NONE, &check, 0, "check the settings and exit",
       nullptr},
      {"print-settings", 0, POPT_ARG_NONE, &print_settings, 0,
       "print a gateway's settings in force and exit", nullptr},
      {"platform", 'p', POPT_ARG_STRING, &platform, 0,
       "the platform's object API, by default 127.0.0.1:7000", "ADDRESS"},
      {"node", 'n', POPT_ARG_STRING, &node, 0, "a node's address for callers",
       "ADDRESS"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, FreeContext> context(
      poptGetContext("teaselthread", argc, argv, options, 0));
  poptSetOtherOptionHelp(context.get(), kUsage);
  const int status = poptGetNextOpt(context.get());
  const PoptText owned[] = {PoptText(config_file), PoptText(platform),
                            PoptText(node)};
  if (status < -1) {
    return Error{ErrorCode::kBadValue,
                 std::string(poptBadOption(context.get(), 0)) + ": " +
                     poptStrerror(status)};
  }
  CommandLine parsed;
  parsed.version = version != 0;
  parsed.check = check != 0;
  parsed.print_settings = print_settings != 0;
  if (config_file)
    parsed.config_file = config_file;
  if (platform)
    parsed.platform = platform;
  if (node)
    parsed.node = node;
  while (const char* argument = poptGetArg(context.get()))
    parsed.arguments.emplace_back(argument);
  return parsed;
}

}  // namespace teaselthread
