#include "teaselthread/streams/stream_services.h"

#include "libteaselthread/rendezvous_hash.h"
#include "teaselthread/gateway/gateway_state.h"

namespace teaselthread {

MixedServices FindMixedServices(GatewayState* state, Timestamp now) {
  MixedServices mixed;
  if (!state->routes())
    return mixed;
  for (const ServiceSpec& service : state->routes()->parts().services) {
    const uint32_t hash = ShortHash(service.name);
    if (!state->version_history().IsMixedSince(hash, Timestamp::min()))
      continue;
    const Timestamp since = now - state->StreamLifetime(service.name);
    if (state->version_history().IsMixedSince(hash, since))
      mixed[hash] = state->version_history().LastServedSince(hash, since);
  }
  return mixed;
}

std::set<uint32_t> HashesOf(const MixedServices& services) {
  std::set<uint32_t> hashes;
  for (const auto& [hash, versions] : services)
    hashes.insert(hash);
  return hashes;
}

}  // namespace teaselthread
