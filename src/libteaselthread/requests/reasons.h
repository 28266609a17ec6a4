#ifndef TEASELTHREAD_REQUESTS_REASONS_H_
#define TEASELTHREAD_REQUESTS_REASONS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace teaselthread {

// Why a request was refused. A refused request has never run.
enum class RefusalReason : uint8_t {
  kNotReady,
  kLeaving,
  kMalformed,
  kOversized,
  kTooSlow,
  kTooManyConnections,
  kUnknownProfile,
  kUnknownModel,
  kUnknownService,
  kTicketRequired,
  kTicketMalformed,
  kIdempotencyTableFull,
  kCustomerRate,
  kCustomerConcurrency,
  kNoEndpoint,
  kEndpointBusy,
  kEndpointOut,
  kEndpointUnreachable,
  kNotOwner,
  kQueueFull,
  kDeadlineTooShort,
  kDeadlinePassed,
  kOwnerGuarded,
  kKeyReused,
  kUnknownRoute,
  kUnknownKey,
  kStaleConfiguration,  // API keys may have been revoked since
  kHeaderOversized,
  kEndpointsCold,
  kRetryLimit,
  kFleetStale,        // like kStaleConfiguration, and other nodes cannot help
  kCrashesEndpoints,  // a part of the prompt has crashed several endpoints
  kEndpointsPaused,   // all endpoints have asked for a pause
  kBuffersFull,       // the node keeps too many bodies already
  kExcessiveFraming,  // a chunked body with far more framing than content
  kEndpointsLimited,  // this node's shares of all rate limits are used up
  kStreamOriginUnknown,  // so is the version that can continue the stream
};
inline constexpr size_t kRefusalReasonCount = 37;

// Why it is unknown whether a request ran.
enum class UnknownReason : uint8_t {
  kHomeGone,
  kTicketExpired,
  kAnswerNotKept,
  kOwnerLost,
  kConnectionLost,
  kTruncatedAnswer,
  kTimedOut,
  kCallerGone,
};
inline constexpr size_t kUnknownReasonCount = 8;

// Why an attempt was followed by another one.
enum class RetryReason : uint8_t {
  kEndpointBusy,
  kEndpointUnreachable,
  kNotOwner,
  kOwnerLost,
  kStreamCut,
};
inline constexpr size_t kRetryReasonCount = 5;

// Names in lower case with hyphens, as used in metrics and in the problem types
// of error responses.
std::string_view ToString(RefusalReason reason);
std::string_view ToString(UnknownReason reason);
std::string_view ToString(RetryReason reason);

// The HTTP status of the response to the caller.
int HttpStatus(RefusalReason reason);
int HttpStatus(UnknownReason reason);

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_REASONS_H_
