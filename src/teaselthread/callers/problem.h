#ifndef TEASELTHREAD_CALLERS_PROBLEM_H_
#define TEASELTHREAD_CALLERS_PROBLEM_H_

#include <string>

#include "libteaselthread/requests/outcome.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Problem details (RFC 9457) for a request that got no response from an
// endpoint. "run" is "not-run" or "may-have-run".
http::response<http::string_body> MakeProblem(const RefusedNotRun& refusal);
http::response<http::string_body> MakeProblem(const MayHaveRun& unknown);
// A request that could not be read, for which "run" is "not-read": this request
// did not run, but an earlier one with the same key may have. `detail` is
// a human-readable explanation.
http::response<http::string_body> MakeUnreadProblem(
    const RefusedNotRun& refusal,
    const std::string& detail);
// For paths and methods that do not exist.
http::response<http::string_body> MakeNotFound(const std::string& path);

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_PROBLEM_H_
