#ifndef TEASELTHREAD_EXIT_CODE_H_
#define TEASELTHREAD_EXIT_CODE_H_

namespace teaselthread {

// Exit codes of the teaselthread program; docs/OPERATORS.md lists them.
enum class ExitCode : int {
  kSuccess = 0,
  kUsage = 1,        // the command line is wrong
  kInvalid = 2,      // a file or name is not valid
  kUnavailable = 3,  // the platform or node cannot be reached; nothing changed
  kConflict = 4,     // another change was accepted first; nothing changed
  kUnknown = 5,      // the change may or may not have been accepted
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_EXIT_CODE_H_
