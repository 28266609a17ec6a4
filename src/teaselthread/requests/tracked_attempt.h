#ifndef TEASELTHREAD_REQUESTS_TRACKED_ATTEMPT_H_
#define TEASELTHREAD_REQUESTS_TRACKED_ATTEMPT_H_

#include <memory>

#include "libteaselthread/endpoints/endpoint_selector.h"
#include "teaselthread/requests/crash_guard.h"
#include "teaselthread/requests/endpoint_attempt.h"
#include "teaselthread/requests/endpoint_placement.h"
#include "teaselthread/requests/request_exchange.h"
#include "teaselthread/requests/request_log.h"

namespace teaselthread {

// One attempt of a caller's request at the selected endpoint. Records what it
// shows: the endpoint's load and health, the demand for the prompt part, and
// evidence of prompts that crash engines. An attempt that is cancelled is not
// counted as the endpoint's failure, unless that has not responded for long.
class TrackedAttempt {
 public:
  TrackedAttempt(GatewayState* state,
                 EndpointConnections* connections,
                 CrashGuard* crash_guard,
                 EndpointPlacement* placement,
                 RequestExchange* exchange,
                 Selection selection,
                 AttemptRole role,
                 std::shared_ptr<RequestGuard> guard);

  asio::awaitable<AttemptResult> Run();
  const Selection& selection() const { return selection_; }
  AttemptRole role() const { return role_; }
  RequestGuard& guard() { return *guard_; }

 private:
  std::shared_ptr<EndpointHttpRequest> MakeEndpointRequest() const;
  void UpdateEndpointHealth(EndpointState& endpoint,
                            const AttemptResult& result);

  GatewayState* state_;
  EndpointConnections* connections_;
  CrashGuard* crash_guard_;
  EndpointPlacement* placement_;
  RequestLog log_;
  RequestExchange* exchange_;
  Selection selection_;
  AttemptRole role_;
  std::shared_ptr<RequestGuard> guard_;
  Timestamp sent_at_{};
  ResponseTimeouts timeouts_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_TRACKED_ATTEMPT_H_
