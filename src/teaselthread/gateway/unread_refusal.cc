#include "teaselthread/gateway/unread_refusal.h"

#include "libteaselthread/attempts/retry_after.h"
#include "teaselthread/callers/problem.h"

namespace teaselthread {

http::response<http::string_body> RefuseUnreadRequest(GatewayState* state,
                                                      RefusalReason reason) {
  state->metrics().OnRefusal(reason);
  LogLine line("request-unread");
  line.Add("reason", ToString(reason))
      .Add("connections", state->caller_connections().size())
      .Add("buffered_bytes", state->buffers().used());
  state->LogUntrustedCaller(line);
  const double jitter =
      std::uniform_real_distribution<double>(0, 1)(state->random());
  const Duration retry_after = RetryAfterFor(reason, jitter);
  auto problem = MakeUnreadProblem({reason, retry_after}, "");
  if (retry_after > Duration::zero())
    problem.set(http::field::retry_after, RetryAfterText(retry_after));
  return problem;
}

}  // namespace teaselthread
