#ifndef TEASELTHREAD_PLATFORM_JSON_H_
#define TEASELTHREAD_PLATFORM_JSON_H_

#include <optional>
#include <string>

#include "libteaselthread/endpoint.h"
#include "libteaselthread/error.h"
#include "libteaselthread/membership/member.h"
#include "teaselthread/platform_client.h"

namespace teaselthread {

// An object of kind "vms":
//   {"zone": "palermo", "address": "192.0.2.7:9000", "kind": "model-engine" or
//    "service", "serves": ["name"], "state": "live" or "leaving"}
Result<Endpoint> ReadEndpoint(const PlatformObject& object);

// An object of kind "nodes", which is the lease of a node.
std::string WriteLease(const Member& member);
Result<Member> ReadLease(const PlatformObject& object);

}  // namespace teaselthread

#endif  // TEASELTHREAD_PLATFORM_JSON_H_
