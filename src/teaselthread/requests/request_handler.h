#ifndef TEASELTHREAD_REQUESTS_REQUEST_HANDLER_H_
#define TEASELTHREAD_REQUESTS_REQUEST_HANDLER_H_

#include <optional>
#include <set>
#include <string>

#include "teaselthread/requests/crash_guard.h"
#include "teaselthread/requests/endpoint_placement.h"
#include "teaselthread/requests/final_responses.h"
#include "teaselthread/requests/request_checks.h"
#include "teaselthread/requests/request_exchange.h"
#include "teaselthread/requests/request_log.h"
#include "teaselthread/requests/resumed_streams.h"
#include "teaselthread/requests/silent_attempts.h"

namespace teaselthread {

// Serves callers' requests: checks each one, sends it to an endpoint, retries
// at other endpoints if necessary, and sends the caller exactly one final
// response.
class RequestHandler {
 public:
  explicit RequestHandler(GatewayState* state)
      : state_(state),
        checks_(state),
        crash_guard_(state, &connections_),
        placement_(state),
        silent_attempts_(state, &checks_, &crash_guard_, &placement_),
        resumed_streams_(state),
        final_responses_(state),
        log_(state) {}

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
  asio::awaitable<void> RunAttempts(RequestExchange& exchange);
  // Makes one attempt. Returns true if the request has ended, with or without a
  // final response.
  asio::awaitable<bool> RunAttempt(RequestExchange& exchange);
  // The caller has disconnected. Nothing is sent.
  static void Drop(RequestExchange& exchange);
  // An endpoint has sent the first event of an attempt.
  void OnFirstEvent(RequestExchange& exchange);
  asio::awaitable<void> HandleFailure(RequestExchange& exchange,
                                      const Selection& selection,
                                      AttemptResult result,
                                      AttemptRole role,
                                      bool* is_final);
  // The endpoint of a hedge, none of `excluded`. Empty if none can be selected
  // that has room, or the request must not be sent any more.
  std::optional<Selection> SelectForHedge(
      RequestExchange& exchange,
      const std::set<std::string>& excluded);
  // The service has rejected a request.
  void OnRejection(const RequestExchange& exchange);

  GatewayState* state_;
  RequestChecks checks_;
  CrashGuard crash_guard_;
  EndpointPlacement placement_;
  SilentAttempts silent_attempts_;
  ResumedStreams resumed_streams_;
  FinalResponses final_responses_;
  RequestLog log_;
  EndpointConnections connections_;
  std::set<RequestExchange*> exchanges_;  // in progress
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_REQUEST_HANDLER_H_
