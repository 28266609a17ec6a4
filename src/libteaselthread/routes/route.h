#ifndef TEASELTHREAD_ROUTES_ROUTE_H_
#define TEASELTHREAD_ROUTES_ROUTE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

enum class RequestKind : uint8_t { kIdempotent, kNonIdempotent, kStreaming };

// One of the services between which a route's requests are split.
struct WeightedService {
  std::string service;
  uint32_t weight = 1;

  friend auto operator<=>(const WeightedService&,
                          const WeightedService&) = default;
};

// Which requests match, which services handle them, and their time limits and
// guarantees.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  RequestKind kind = RequestKind::kNonIdempotent;
  Duration timeout{};        // until the final response
  Duration objective{};      // target: until the response or its first event
  Duration max_event_gap{};  // between two events; zero if none is set
  int priority = 0;          // 0 is the most urgent
  std::vector<WeightedService> services;
  uint32_t max_attempts = 1;  // endpoints that may run one request
  bool is_public = false;     // requires no API key
  bool is_resumable = false;  // streams can resume after the last event id

  // Whether a request may be run more than once.
  bool IsRepeatable() const;

  friend auto operator<=>(const Route&, const Route&) = default;
};

// A service whose endpoints are model engines.
struct EngineSpec {
  uint32_t slots = 0;
  uint64_t kv_tokens = 0;  // capacity of the KV cache

  friend auto operator<=>(const EngineSpec&, const EngineSpec&) = default;
};

struct ServiceSpec {
  std::string name;
  uint32_t max_connections = 0;  // to one endpoint, for all callers
  Duration cold_start{};         // zero if its endpoints are never cold
  double cold_requests_per_second = 0;
  std::optional<EngineSpec> engine;

  friend auto operator<=>(const ServiceSpec&, const ServiceSpec&) = default;
};

struct Customer {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  // overrides the route's

  friend auto operator<=>(const Customer&, const Customer&) = default;
};

// Size and time limits for a caller's connection.
struct ConnectionBounds {
  uint32_t max_header_bytes = 0;
  uint32_t max_body_bytes = 0;
  Duration header_timeout{};  // from a request's first byte to its last
  Duration idle_timeout{};    // between two requests

  friend auto operator<=>(const ConnectionBounds&,
                          const ConnectionBounds&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROUTES_ROUTE_H_
