#ifndef TEASELTHREAD_GATEWAY_REQUEST_HANDLER_H_
#define TEASELTHREAD_GATEWAY_REQUEST_HANDLER_H_

#include <memory>
#include <set>
#include <string>

#include "teaselthread/gateway/crash_guard.h"
#include "teaselthread/gateway/endpoint_attempt.h"
#include "teaselthread/gateway/request_checks.h"

namespace teaselthread {

using CallerHttpRequest = http::request<http::string_body>;

// Serves callers' requests: checks each one, sends it to an endpoint, retries
// at other endpoints if necessary, and sends the caller exactly one final
// response.
class RequestHandler {
 public:
  explicit RequestHandler(GatewayState* state)
      : state_(state), checks_(state), crash_guard_(state, &connections_) {}

  asio::awaitable<void> Serve(const CallerHttpRequest& message,
                              Timestamp received_at,
                              tcp::socket* socket,
                              ResponseWriter* writer);
  // Closes idle endpoint connections whose keep-alive time has passed.
  void Sweep() { connections_.Sweep(); }
  // Logs the end of the requests in progress, which the exit of the process
  // cuts off.
  void LogCutRequests();

 private:
  struct Exchange;

  asio::awaitable<void> RunAttempts(Exchange& exchange);
  // Makes one attempt. Returns true if the request has ended, with or without a
  // final response.
  asio::awaitable<bool> RunAttempt(Exchange& exchange);
  asio::awaitable<void> HandleFailure(Exchange& exchange,
                                      const Selection& selection,
                                      AttemptResult result,
                                      bool* is_final);
  SelectionResult Select(const Exchange& exchange);
  // Selects an endpoint. If all are at their load bound, waits until one is not
  // or the request can no longer be served in time.
  asio::awaitable<SelectionResult> SelectOrWait(Exchange& exchange);
  std::shared_ptr<EndpointHttpRequest> MakeEndpointRequest(
      const Exchange& exchange,
      const Selection& selection) const;
  ResponseTimeouts ResponseTimeoutsFor(const Exchange& exchange,
                                       const EndpointState& endpoint) const;
  void UpdateEndpointHealth(EndpointState& endpoint,
                            const AttemptResult& result);

  asio::awaitable<void> Refuse(Exchange& exchange, RefusalReason reason);
  // Ends the request when no further attempt can be made. Refuses it only if no
  // earlier attempt may have run it.
  asio::awaitable<void> EndWithoutAttempt(Exchange& exchange,
                                          RefusalReason reason);
  asio::awaitable<void> ReportUnknownOutcome(Exchange& exchange,
                                             UnknownReason reason);
  void LogSend(const Exchange& exchange, const Selection& selection);
  void LogEnd(const Exchange& exchange);

  GatewayState* state_;
  RequestChecks checks_;
  CrashGuard crash_guard_;
  EndpointConnections connections_;
  std::set<Exchange*> exchanges_;  // in progress
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_REQUEST_HANDLER_H_
