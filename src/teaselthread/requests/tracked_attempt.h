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
  asio::awaitable<AttemptResult> Send();
  // An exception ends the attempt and not the coroutine of the caller's
  // connection, which would leave the request without a response.
  asio::awaitable<AttemptResult> SendSafely();
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
  bool has_thrown_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_TRACKED_ATTEMPT_H_
