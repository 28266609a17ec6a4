#ifndef TEASELTHREAD_GATEWAY_CRASH_GUARD_H_
#define TEASELTHREAD_GATEWAY_CRASH_GUARD_H_

#include "teaselthread/gateway/request_checks.h"

namespace teaselthread {

// Keeps prompts that crash model engines from them: collects the evidence from
// this gateway's requests, and logs each decision on it.
class CrashGuard {
 public:
  explicit CrashGuard(GatewayState* state) : state_(state) {}

  // Whether the request must not be sent, as it would probably crash an engine.
  bool Blocks(const ClassifiedRequest& request);
  // An engine has sent the first event of its answer to the request.
  void OnAnswerBegun(const ClassifiedRequest& request);
  // The connection to the engine broke before that. The request was sent to it
  // at `sent_at`.
  void OnCrash(const ClassifiedRequest& request,
               const EndpointState& engine,
               Timestamp sent_at);

 private:
  GatewayState* state_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_CRASH_GUARD_H_
