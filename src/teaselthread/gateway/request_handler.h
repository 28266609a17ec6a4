#ifndef TEASELTHREAD_GATEWAY_REQUEST_HANDLER_H_
#define TEASELTHREAD_GATEWAY_REQUEST_HANDLER_H_

#include <memory>
#include <string>

#include "teaselthread/gateway/endpoint_attempt.h"
#include "teaselthread/gateway/request_checks.h"

namespace teaselthread {

using CallerHttpRequest = http::request<http::string_body>;

// Serves callers' requests: checks each one, sends it to an endpoint, to
// others if need be, and sees to it that its caller gets one final answer.
class RequestHandler {
 public:
  explicit RequestHandler(GatewayState* state)
      : state_(state), checks_(state) {}

  asio::awaitable<void> Serve(const CallerHttpRequest& message,
                              Timestamp received_at,
                              tcp::socket* socket,
                              CallerLink* link);
  // Drops idle connections that have grown too old.
  void Sweep() { connections_.Sweep(); }

 private:
  struct Exchange;

  asio::awaitable<void> RunAttempts(Exchange& exchange);
  // One attempt; true if the request has got its final answer or has none.
  asio::awaitable<bool> RunAttempt(Exchange& exchange);
  asio::awaitable<void> AfterFailure(Exchange& exchange,
                                     const Selection& selection,
                                     AttemptResult result,
                                     bool* is_final);
  SelectionResult Select(const Exchange& exchange);
  std::shared_ptr<EndpointHttpRequest> MakeEndpointRequest(
      const Exchange& exchange,
      const Selection& selection) const;
  ResponseTimeouts ResponseTimeoutsFor(const Exchange& exchange,
                                       const EndpointState& endpoint) const;
  void JudgeEndpoint(EndpointState& endpoint, const AttemptResult& result);

  asio::awaitable<void> Refuse(Exchange& exchange, RefusalReason reason);
  // No further attempt can be made. Refuses only what cannot have run.
  asio::awaitable<void> EndUnsent(Exchange& exchange, RefusalReason reason);
  asio::awaitable<void> GiveUp(Exchange& exchange, UnknownReason reason);
  void LogSend(const Exchange& exchange, const Selection& selection);
  void LogEnd(const Exchange& exchange);

  GatewayState* state_;
  RequestChecks checks_;
  EndpointConnections connections_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_REQUEST_HANDLER_H_
