#ifndef TEASELTHREAD_COMMAND_LINE_H_
#define TEASELTHREAD_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "libteaselthread/error.h"

namespace teaselthread {

// The parsed command line.
struct CommandLine {
  bool version = false;
  bool check = false;
  bool print_settings = false;
  std::string config_file;
  std::string platform = "127.0.0.1:7000";
  std::string node;
  std::vector<std::string> arguments;  // "node", or "ctl" and its command

  // For --help, prints the help and exits.
  static Result<CommandLine> Parse(int argc, const char** argv);
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_COMMAND_LINE_H_
