#ifndef TEASELTHREAD_REQUESTS_REASONS_H_
#define TEASELTHREAD_REQUESTS_REASONS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace teaselthread {

// Why a request was refused. A refusal always means: not run.
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
  kStaleConfiguration,  // a key may have been taken away since
  kHeaderOversized,
  kEndpointsCold,
  kRetryLimit,
};
inline constexpr size_t kRefusalReasonCount = 30;

// Why nobody can say whether a request ran.
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

// Lower-case words joined by hyphens, as used in metrics and problem types.
std::string_view ToString(RefusalReason reason);
std::string_view ToString(UnknownReason reason);
std::string_view ToString(RetryReason reason);

// The HTTP status that a caller gets.
int HttpStatus(RefusalReason reason);
int HttpStatus(UnknownReason reason);

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_REASONS_H_
