#ifndef TEASELTHREAD_REQUESTS_ENDPOINT_CONNECTIONS_H_
#define TEASELTHREAD_REQUESTS_ENDPOINT_CONNECTIONS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libteaselthread/timestamp.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// A connection to an endpoint and its read buffer.
struct EndpointConnection {
  // Limit on a response's head, chunk header or trailers.
  static constexpr size_t kMaxHeaderBytes = size_t{32} * 1024;
  // Allows several round trips between availability zones. A lost SYN, which
  // TCP retransmits only after 1 s, is not waited for.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);

  explicit EndpointConnection(asio::io_context& io) : socket(io) {}
  // Closes the connection and discards unsent data, so that none of it is
  // delivered later.
  void Reset();

  tcp::socket socket;
  beast::flat_buffer buffer{2 * kMaxHeaderBytes};
  bool is_reused = false;
  // Opened by a probe: no request was sent on it yet.
  bool is_unused = false;
  std::chrono::steady_clock::time_point usable_until;
};

using EndpointConnectionPtr = std::shared_ptr<EndpointConnection>;

// Pool of idle connections to endpoints. It is keyed by endpoint id, not by
// address, so that an endpoint that takes over the address of another one is
// not given the connections of its predecessor.
class EndpointConnections {
 public:
  // Returns an idle connection without pending input, or null.
  EndpointConnectionPtr Take(const std::string& endpoint_id);
  void Return(const std::string& endpoint_id, EndpointConnectionPtr connection);
  // Closes all idle connections to an endpoint that has failed, since they may
  // be broken too.
  void Drop(const std::string& endpoint_id) { idle_.erase(endpoint_id); }
  // Closes connections whose keep-alive time has passed.
  void Sweep();

 private:
  std::map<std::string, std::vector<EndpointConnectionPtr>> idle_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_ENDPOINT_CONNECTIONS_H_
