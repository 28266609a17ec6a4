#ifndef TEASELTHREAD_GATEWAY_ENDPOINT_CONNECTIONS_H_
#define TEASELTHREAD_GATEWAY_ENDPOINT_CONNECTIONS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "teaselthread/asio.h"

namespace teaselthread {

// A connection to an endpoint, with bytes that were read ahead.
struct EndpointConnection {
  explicit EndpointConnection(asio::io_context& io) : socket(io) {}
  // Bytes under way are dropped rather than delivered later.
  void Reset();

  tcp::socket socket;
  beast::flat_buffer buffer;
  bool is_reused = false;
  std::chrono::steady_clock::time_point usable_until;
};

using EndpointConnectionPtr = std::shared_ptr<EndpointConnection>;

// Idle connections to endpoints, by the endpoint's id, so that one that took
// over another's address gets no connection of its predecessor.
class EndpointConnections {
 public:
  // A connection on which nothing has come in meanwhile, or null.
  EndpointConnectionPtr Take(const std::string& endpoint_id);
  void Return(const std::string& endpoint_id, EndpointConnectionPtr connection);
  // Connections to an endpoint that has failed are suspect too.
  void Drop(const std::string& endpoint_id) { idle_.erase(endpoint_id); }
  // Closes what has been idle for too long.
  void Sweep();

 private:
  std::map<std::string, std::vector<EndpointConnectionPtr>> idle_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_ENDPOINT_CONNECTIONS_H_
