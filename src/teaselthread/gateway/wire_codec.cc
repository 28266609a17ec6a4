#include "teaselthread/gateway/wire_codec.h"

namespace teaselthread {

std::string_view ToString(StoreKind kind) {
  constexpr std::string_view kNames[kStoreKindCount] = {
      "configuration", "endpoints", "evacuations", "nodes",
      "rollouts",      "streams",   "fleet"};
  return kNames[static_cast<size_t>(kind)];
}

}  // namespace teaselthread
