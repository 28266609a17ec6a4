#ifndef TEASELTHREAD_STREAMS_STREAM_SERVICES_H_
#define TEASELTHREAD_STREAMS_STREAM_SERVICES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

class GatewayState;

// The versions of each service that has had several within the lifetime of its
// streams, with the time when each of them served last.
using MixedServices = std::map<uint32_t, std::map<std::string, Timestamp>>;

MixedServices FindMixedServices(GatewayState* state, Timestamp now);
std::set<uint32_t> HashesOf(const MixedServices& services);

}  // namespace teaselthread

#endif  // TEASELTHREAD_STREAMS_STREAM_SERVICES_H_
