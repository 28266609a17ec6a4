#ifndef TEASELTHREAD_ENDPOINT_POOL_H_
#define TEASELTHREAD_ENDPOINT_POOL_H_

#include <map>
#include <optional>
#include <vector>

#include "libteaselthread/settings.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Idle connections to endpoints, most recently used first.
class EndpointPool {
 public:
  std::optional<tcp::socket> Take(const SocketAddress& address);
  void Return(const SocketAddress& address, tcp::socket socket);
  // A connection to the address has gone silent or broken: its siblings are
  // suspect too.
  void Drop(const SocketAddress& address) { idle_.erase(address); }

 private:
  struct IdleSocket {
    tcp::socket socket;
    std::chrono::steady_clock::time_point since;
  };

  std::map<SocketAddress, std::vector<IdleSocket>> idle_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINT_POOL_H_
