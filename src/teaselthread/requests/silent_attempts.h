#ifndef TEASELTHREAD_REQUESTS_SILENT_ATTEMPTS_H_
#define TEASELTHREAD_REQUESTS_SILENT_ATTEMPTS_H_

#include "libteaselthread/attempts/silence_decision.h"
#include "teaselthread/requests/crash_guard.h"
#include "teaselthread/requests/endpoint_placement.h"
#include "teaselthread/requests/request_checks.h"
#include "teaselthread/requests/request_exchange.h"

namespace teaselthread {

// Decides whether an attempt whose endpoint is silent is abandoned. It is only
// if another attempt runs or can follow at once; otherwise the caller would
// lose a response that the endpoint may still send.
class SilentAttempts {
 public:
  // The arguments must outlive this object.
  SilentAttempts(GatewayState* state,
                 const RequestChecks* checks,
                 const CrashGuard* crash_guard,
                 EndpointPlacement* placement)
      : state_(state),
        checks_(checks),
        crash_guard_(crash_guard),
        placement_(placement) {}

  // Whether the attempt is to be abandoned. If so, and a retry has to follow,
  // it has been taken from the retry allowance. Counts and logs the decision.
  bool MayAbandon(RequestExchange& exchange,
                  const Selection& selection,
                  AttemptRole role);

 private:
  SilenceDecision Decide(RequestExchange& exchange, AttemptRole role);

  GatewayState* state_;
  const RequestChecks* checks_;
  const CrashGuard* crash_guard_;
  EndpointPlacement* placement_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_SILENT_ATTEMPTS_H_
