#include "teaselthread/endpoint_connection_pool.h"

#include "teaselthread/http/idle_connection.h"

namespace teaselthread {
namespace {

constexpr size_t kMaxIdlePerEndpoint = 16;
constexpr std::chrono::seconds kMaxIdleTime{20};

}  // namespace

std::optional<tcp::socket> EndpointConnectionPool::Take(
    const SocketAddress& address) {
  auto found = idle_.find(address);
  if (found == idle_.end())
    return std::nullopt;
  std::vector<IdleSocket>& sockets = found->second;
  const auto now = std::chrono::steady_clock::now();
  while (!sockets.empty()) {
    IdleSocket idle = std::move(sockets.back());
    sockets.pop_back();
    if (now - idle.since <= kMaxIdleTime && HasNoPendingInput(idle.socket))
      return std::move(idle.socket);
  }
  return std::nullopt;
}

void EndpointConnectionPool::Return(const SocketAddress& address,
                                    tcp::socket socket) {
  std::vector<IdleSocket>& sockets = idle_[address];
  if (sockets.size() >= kMaxIdlePerEndpoint)
    return;
  sockets.push_back({std::move(socket), std::chrono::steady_clock::now()});
}

}  // namespace teaselthread
