#ifndef TEASELTHREAD_ENDPOINT_H_
#define TEASELTHREAD_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "libteaselthread/settings.h"

namespace teaselthread {

enum class EndpointKind : uint8_t { kModelEngine, kService };

// kCold is also used while the temperature is unknown.
enum class EndpointTemperature : uint8_t { kCold, kWarm };

// A back end, as described by the platform's list of VMs.
struct Endpoint {
  std::string name;
  std::string zone;
  SocketAddress address;
  EndpointKind kind = EndpointKind::kModelEngine;
  // Names of models, or the name of one service.
  std::vector<std::string> serves;
  bool leaving = false;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_H_
