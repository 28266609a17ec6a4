#ifndef TEASELTHREAD_TESTS_ENDPOINT_FAULTS_NODE_CALL_H_
#define TEASELTHREAD_TESTS_ENDPOINT_FAULTS_NODE_CALL_H_

#include <optional>
#include <string>

#include "teaselthread/endpoint_call.h"

namespace teaselthread::test {

// Makes an endpoint call of a node. Returns the body, or nothing if it fails.
asio::awaitable<std::optional<std::string>> CallEndpoint(
    SocketAddress address,
    EndpointConnectionPool* pool,
    Duration timeout);

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_ENDPOINT_FAULTS_NODE_CALL_H_
