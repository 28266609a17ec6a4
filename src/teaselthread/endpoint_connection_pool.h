#ifndef TEASELTHREAD_ENDPOINT_CONNECTION_POOL_H_
#define TEASELTHREAD_ENDPOINT_CONNECTION_POOL_H_

#include <map>
#include <optional>
#include <vector>

#include "libteaselthread/settings.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Idle connections to endpoints; the most recently used one is taken first.
class EndpointConnectionPool {
 public:
  std::optional<tcp::socket> Take(const SocketAddress& address);
  void Return(const SocketAddress& address, tcp::socket socket);
  // Closes all idle connections to the address. Called after a connection to it
  // has timed out or failed, since the others have probably failed too.
  void Drop(const SocketAddress& address) { idle_.erase(address); }

 private:
  struct IdleSocket {
    tcp::socket socket;
    std::chrono::steady_clock::time_point since;
  };

  std::map<SocketAddress, std::vector<IdleSocket>> idle_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_CONNECTION_POOL_H_
