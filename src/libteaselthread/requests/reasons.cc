#include "libteaselthread/requests/reasons.h"

#include <array>

namespace teaselthread {
namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kUnprocessableContent = 422;
constexpr int kPreconditionRequired = 428;
constexpr int kTooManyRequests = 429;
constexpr int kHeaderFieldsTooLarge = 431;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

struct ReasonRow {
  std::string_view name;
  int status;
};

constexpr std::array<ReasonRow, kRefusalReasonCount> kRefusals = {{
    {"not-ready", kServiceUnavailable},
    {"leaving", kServiceUnavailable},
    {"malformed", kBadRequest},
    {"oversized", kPayloadTooLarge},
    {"too-slow", kRequestTimeout},
    {"too-many-connections", kServiceUnavailable},
    {"unknown-profile", kBadRequest},
    {"unknown-model", kNotFound},
    {"unknown-service", kNotFound},
    {"ticket-required", kPreconditionRequired},
    {"ticket-malformed", kBadRequest},
    {"idempotency-table-full", kServiceUnavailable},
    {"customer-rate", kTooManyRequests},
    {"customer-concurrency", kTooManyRequests},
    {"no-endpoint", kServiceUnavailable},
    {"endpoint-busy", kServiceUnavailable},
    {"endpoint-out", kServiceUnavailable},
    {"endpoint-unreachable", kServiceUnavailable},
    {"not-owner", kServiceUnavailable},
    {"queue-full", kServiceUnavailable},
    {"deadline-too-short", kServiceUnavailable},
    {"deadline-passed", kServiceUnavailable},
    {"owner-guarded", kServiceUnavailable},
    {"key-reused", kUnprocessableContent},
    {"unknown-route", kNotFound},
    {"unknown-key", kUnauthorized},
    {"stale-configuration", kServiceUnavailable},
    {"header-oversized", kHeaderFieldsTooLarge},
    {"endpoints-cold", kServiceUnavailable},
    {"retry-limit", kServiceUnavailable},
    {"fleet-stale", kServiceUnavailable},
    {"crashes-endpoints", kServiceUnavailable},
    {"endpoints-paused", kServiceUnavailable},
    {"buffers-full", kServiceUnavailable},
    {"excessive-framing", kBadRequest},
    {"endpoints-limited", kServiceUnavailable},
    {"stream-origin-unknown", kServiceUnavailable},
}};

constexpr std::array<ReasonRow, kUnknownReasonCount> kUnknowns = {{
    {"home-gone", kBadGateway},
    {"ticket-expired", kBadGateway},
    {"answer-not-kept", kBadGateway},
    {"owner-lost", kBadGateway},
    {"connection-lost", kBadGateway},
    {"truncated-answer", kBadGateway},
    {"timed-out", kGatewayTimeout},
    {"caller-gone", kBadGateway},
}};

constexpr std::array<std::string_view, kRetryReasonCount> kRetries = {
    "endpoint-busy", "endpoint-unreachable", "not-owner", "owner-lost",
    "stream-cut"};

}  // namespace

std::string_view ToString(RefusalReason reason) {
  return kRefusals[static_cast<size_t>(reason)].name;
}

std::string_view ToString(UnknownReason reason) {
  return kUnknowns[static_cast<size_t>(reason)].name;
}

std::string_view ToString(RetryReason reason) {
  return kRetries[static_cast<size_t>(reason)];
}

int HttpStatus(RefusalReason reason) {
  return kRefusals[static_cast<size_t>(reason)].status;
}

int HttpStatus(UnknownReason reason) {
  return kUnknowns[static_cast<size_t>(reason)].status;
}

}  // namespace teaselthread
