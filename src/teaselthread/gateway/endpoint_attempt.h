#ifndef TEASELTHREAD_GATEWAY_ENDPOINT_ATTEMPT_H_
#define TEASELTHREAD_GATEWAY_ENDPOINT_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libteaselthread/attempts/request_attempts.h"
#include "libteaselthread/attempts/response_timeouts.h"
#include "teaselthread/gateway/endpoint_connections.h"
#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/gateway/request_guard.h"
#include "teaselthread/gateway/stream_relay.h"

namespace teaselthread {

// How an attempt ended. May throw when assigned, as AnswerHead.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct AttemptResult {
  // Empty if the whole answer has come.
  std::optional<AttemptFailure> failure;
  // The answer, unless it was streamed. With kServerError it is the endpoint's
  // own failure.
  std::optional<AnswerHead> head;
  std::string body;
  bool on_kept_connection = false;
  // The endpoint has been judged for its silence already.
  bool was_judged = false;
};

// One attempt to have a request run by one endpoint.
class EndpointAttempt {
 public:
  EndpointAttempt(GatewayState* state,
                  EndpointConnections* connections,
                  EndpointPtr endpoint,
                  RequestGuard* guard,
                  RequestAttempts* attempts);

  // Successful answers are streamed to `relay` unless it is null. `on_silence`
  // is called if the endpoint is to be judged while the attempt goes on.
  asio::awaitable<AttemptResult> Run(
      std::shared_ptr<const EndpointHttpRequest> request,
      std::string request_id,
      ResponseTimeouts limits,
      StreamRelay* relay,
      std::function<void()> on_silence);

 private:
  using Parser = http::response_parser<http::buffer_body>;

  asio::awaitable<bool> Connect();
  void StartWrite(std::shared_ptr<const EndpointHttpRequest> request);
  // Reads answers until one belongs to the request.
  asio::awaitable<bool> ReadHead(std::unique_ptr<Parser>* parser, bool is_head);
  asio::awaitable<AttemptResult> ReadAnswer(Parser& parser, StreamRelay* relay);
  asio::awaitable<bool> ReadWhole(Parser& parser, std::string* body);
  asio::awaitable<AttemptResult> Stream(Parser& parser, StreamRelay& relay);
  // One piece of the body. False on an error.
  asio::awaitable<bool> ReadPiece(Parser& parser, std::string_view* piece);
  bool BelongsToRequest(const EndpointHead& head) const;
  void Release(const Parser& parser);
  AttemptFailure FailureOr(AttemptFailure failure) const;

  GatewayState* state_;
  EndpointConnections* connections_;
  EndpointPtr endpoint_;
  RequestGuard* guard_;
  RequestAttempts* attempts_;
  std::string request_id_;
  ResponseTimeouts limits_;
  EndpointConnectionPtr connection_;
  EndpointHead endpoint_head_;
  std::shared_ptr<bool> written_;
  std::string piece_buffer_;
  boost::system::error_code last_failure_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_ENDPOINT_ATTEMPT_H_
