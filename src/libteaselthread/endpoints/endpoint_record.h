#ifndef TEASELTHREAD_ENDPOINTS_ENDPOINT_RECORD_H_
#define TEASELTHREAD_ENDPOINTS_ENDPOINT_RECORD_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "libteaselthread/settings.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// An endpoint's registration in the platform's store.
struct EndpointRecord {
  std::string id;
  uint64_t started_at_ms = 0;  // Unix start time; identifies the incarnation
  std::string service;
  SocketAddress address;
  std::string zone;
  uint32_t slots = 1;  // requests that it runs concurrently
  bool draining = false;
  Duration cold_left{};      // remaining cold-start time when it registered
  std::string version = {};  // of the service; empty if unknown

  friend auto operator<=>(const EndpointRecord&,
                          const EndpointRecord&) = default;
};

// An endpoint's own count of its requests, which it sends with its responses.
struct LoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  std::optional<uint32_t> slots{};
  // How long work takes there at the moment; 100 is as usual.
  std::optional<uint32_t> percent{};

  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

// An endpoint's load as sent from one node to another.
struct LoadUpdate {
  uint32_t endpoint = 0;  // ShortHash of its id
  uint32_t requests = 0;  // running and waiting
  Duration age{};         // time since the endpoint counted them
  // As in LoadReport, at the same time as the count.
  std::optional<uint32_t> percent{};

  friend auto operator<=>(const LoadUpdate&, const LoadUpdate&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_ENDPOINT_RECORD_H_
