#ifndef TEASELTHREAD_REQUESTS_ENDPOINT_ATTEMPT_H_
#define TEASELTHREAD_REQUESTS_ENDPOINT_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libteaselthread/attempts/request_attempts.h"
#include "libteaselthread/attempts/response_timeouts.h"
#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/gateway/stream_relay.h"
#include "teaselthread/requests/endpoint_connections.h"
#include "teaselthread/requests/request_guard.h"

namespace teaselthread {

// How an attempt ended. Assignment may throw, as for ResponseHead.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct AttemptResult {
  // Empty if the complete response was received.
  std::optional<AttemptFailure> failure;
  // The response, unless it was streamed. With kServerError it is the
  // endpoint's error response.
  std::optional<ResponseHead> head;
  std::string body;
  bool on_reused_connection = false;
  // The head of the response was received.
  bool response_begun = false;
  // The endpoint's silence has already been recorded in its health.
  bool silence_recorded = false;
  // The response named a rate limit.
  bool is_rate_limited = false;
};

// One attempt to have one endpoint run a request.
class EndpointAttempt {
 public:
  EndpointAttempt(GatewayState* state,
                  EndpointConnections* connections,
                  EndpointPtr endpoint,
                  RequestGuard* guard,
                  RequestAttempts* attempts,
                  AttemptRole role = AttemptRole::kFirst);

  // What to do while the endpoint sends nothing.
  struct SilenceHandlers {
    // Called once if the silence is to be recorded in the endpoint's health
    // while the attempt continues.
    std::function<void()> on_health_timeout;
    // Whether the attempt is to end after one of the limits.
    std::function<bool()> may_abandon;
  };

  // Streams successful responses to `relay` unless it is null.
  asio::awaitable<AttemptResult> Run(
      std::shared_ptr<const EndpointHttpRequest> request,
      std::string request_id,
      ResponseTimeouts limits,
      StreamRelay* relay,
      SilenceHandlers on_silence);

 private:
  using Parser = http::response_parser<http::buffer_body>;

  // The write of the request, which goes on while the response is read.
  struct RequestWrite {
    explicit RequestWrite(asio::io_context& io)
        : ended(io, asio::steady_timer::time_point::max()) {}

    std::optional<boost::system::error_code> result;  // empty until it ends
    asio::steady_timer ended;                         // cancelled at its end
  };

  asio::awaitable<bool> Connect();
  void StartWrite(std::shared_ptr<const EndpointHttpRequest> request);
  // Skips responses to earlier requests until one belongs to this request.
  asio::awaitable<bool> ReadHead(std::unique_ptr<Parser>* parser, bool is_head);
  asio::awaitable<AttemptResult> ReadResponse(Parser& parser,
                                              StreamRelay* relay);
  asio::awaitable<bool> ReadBody(Parser& parser, std::string* body);
  // Reads a response that belongs to no request and discards its body.
  asio::awaitable<bool> SkipBody(Parser& parser);
  asio::awaitable<AttemptResult> Stream(Parser& parser, StreamRelay& relay);
  // Why a stream that has ended is not complete; empty if it is.
  static std::optional<AttemptFailure> CheckStreamEnd(const Parser& parser,
                                                      const StreamRelay& relay);
  // Reads the next part of the body. Returns false on an error.
  asio::awaitable<bool> ReadBodyData(Parser& parser, std::string_view* bytes);
  // Whether a response that ends with its connection is complete, which it is
  // not if the connection has been reset. Sets the failure if it is not.
  asio::awaitable<bool> CheckConnectionEnd();
  bool BelongsToRequest(const EndpointHead& head) const;
  // Takes note of what the endpoint says of itself in its response.
  void ObserveEndpoint(int status);
  void ObserveRateLimit(int status);
  void ReleaseConnection(const Parser& parser);
  // Why reading has failed: the interruption, if any, or the last error.
  AttemptFailure ReadFailure() const;
  bool SetFailure(AttemptFailure failure);

  GatewayState* state_;
  EndpointConnections* connections_;
  EndpointPtr endpoint_;
  RequestGuard* guard_;
  RequestAttempts* attempts_;
  AttemptRole role_;
  std::string request_id_;
  Timestamp sent_at_{};
  ResponseTimeouts limits_;
  EndpointConnectionPtr connection_;
  EndpointHead endpoint_head_;
  std::shared_ptr<RequestWrite> write_;
  std::string body_buffer_;
  BufferQuota::Reservation buffered_;
  AttemptFailure read_failure_ = AttemptFailure::kBroken;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_ENDPOINT_ATTEMPT_H_
