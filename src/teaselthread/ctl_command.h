#ifndef TEASELTHREAD_CTL_COMMAND_H_
#define TEASELTHREAD_CTL_COMMAND_H_

#include "teaselthread/command_line.h"
#include "teaselthread/exit_code.h"

namespace teaselthread {

// Runs "teaselthread ctl ...": prints to standard output, errors to standard
// error.
ExitCode RunCtl(const CommandLine& command_line);

}  // namespace teaselthread

#endif  // TEASELTHREAD_CTL_COMMAND_H_
