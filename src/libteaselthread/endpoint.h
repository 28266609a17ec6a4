#ifndef TEASELTHREAD_ENDPOINT_H_
#define TEASELTHREAD_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "libteaselthread/settings.h"

namespace teaselthread {

enum class EndpointKind : uint8_t { kModelEngine, kService };

// kCold also stands for "not known yet".
enum class EndpointTemperature : uint8_t { kCold, kWarm };

// One back end as the platform's list of VMs describes it.
struct Endpoint {
  std::string name;
  std::string zone;
  SocketAddress address;
  EndpointKind kind = EndpointKind::kModelEngine;
  std::vector<std::string> serves;  // names of models, or of one service
  bool leaving = false;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_H_
