#ifndef TEASELTHREAD_TESTS_GATEWAY_GATEWAY_FIXTURES_H_
#define TEASELTHREAD_TESTS_GATEWAY_GATEWAY_FIXTURES_H_

#include <string>

#include "libteaselthread/endpoints/endpoint_record.h"
#include "libteaselthread/routes/route_table.h"

namespace teaselthread::test {

// The point in time that is `since_start` after the start of a test.
Timestamp At(Duration since_start);

// An engine of the service "pool".
EndpointRecord MakeEngineRecord(const std::string& id, const std::string& zone);
// An endpoint of the plain service "desk".
EndpointRecord MakeDeskRecord(const std::string& id, const std::string& zone);

// The services "pool" (engines, cold for 3 s) and "desk". The route of "pool"
// is shop.example/chat/, those of "desk" are shop.example/order/ and the
// idempotent shop.example/list/.
RouteTable MakeRoutes();

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_GATEWAY_GATEWAY_FIXTURES_H_
