#ifndef TEASELTHREAD_REQUESTS_REQUEST_EXCHANGE_H_
#define TEASELTHREAD_REQUESTS_REQUEST_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libteaselthread/attempts/request_attempts.h"
#include "libteaselthread/attempts/silence_decision.h"
#include "teaselthread/gateway/stream_relay.h"
#include "teaselthread/requests/request_checks.h"
#include "teaselthread/requests/request_guard.h"

namespace teaselthread {

using CallerHttpRequest = http::request<http::string_body>;

// What became of a request's hedge.
enum class HedgeOutcome : uint8_t {
  kWon,     // its response was the first one
  kLost,    // the first attempt's was
  kFailed,  // neither attempt has succeeded
};
std::string_view ToString(HedgeOutcome outcome);

// What was decided on an attempt whose endpoint was silent.
struct SilentAttempt {
  std::string endpoint;
  SilenceDecision decision{};

  friend auto operator<=>(const SilentAttempt&, const SilentAttempt&) = default;
};

// State of one caller's request while it is served. The message and the writer
// must outlive it.
struct RequestExchange {
  RequestExchange(const CallerHttpRequest& message,
                  ClassifiedRequest request,
                  ResponseWriter* writer,
                  std::shared_ptr<RequestGuard> guard,
                  RequestAttempts attempts)
      : message(message),
        request(std::move(request)),
        writer(writer),
        guard(std::move(guard)),
        relay(writer),
        attempts(std::move(attempts)) {}

  // Whether another endpoint can send the rest of a stream that has begun.
  bool CanResume() const {
    return request.route->is_resumable && relay.events().last_id().has_value();
  }

  const CallerHttpRequest& message;
  ClassifiedRequest request;
  ResponseWriter* writer;
  std::shared_ptr<RequestGuard> guard;
  StreamRelay relay;
  RequestAttempts attempts;
  // Whether an attempt whose endpoint is silent is to be abandoned.
  std::function<bool(const Selection&, AttemptRole)> may_abandon;
  // The latest decision on that; empty before the first one.
  std::optional<SilentAttempt> silent_attempt;
  bool runs_in_parallel = false;    // at two endpoints
  bool has_reserved_retry = false;  // was taken from the retry allowance

  // Written to the log when the request ends.
  std::string outcome = "none";
  std::string reason;
  std::string endpoint;
  std::string endpoint_version;       // of the current attempt
  std::optional<HedgeOutcome> hedge;  // empty unless one was sent
  int status = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_REQUEST_EXCHANGE_H_
