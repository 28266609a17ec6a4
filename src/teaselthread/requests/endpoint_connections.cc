#include "teaselthread/requests/endpoint_connections.h"

#include <utility>

#include "teaselthread/http/idle_connection.h"

namespace teaselthread {
namespace {

// Idle connections kept per endpoint. A node's share of the connections that an
// endpoint accepts is larger.
constexpr size_t kMaxIdle = 16;

}  // namespace

void EndpointConnection::Reset() {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

EndpointConnectionPtr EndpointConnections::Take(
    const std::string& endpoint_id) {
  const auto found = idle_.find(endpoint_id);
  if (found == idle_.end())
    return nullptr;
  const auto now = std::chrono::steady_clock::now();
  std::vector<EndpointConnectionPtr>& idle = found->second;
  while (!idle.empty()) {
    EndpointConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (now < connection->usable_until &&
        HasNoPendingInput(connection->socket)) {
      connection->is_reused = !std::exchange(connection->is_unused, false);
      return connection;
    }
  }
  return nullptr;
}

void EndpointConnections::Return(const std::string& endpoint_id,
                                 EndpointConnectionPtr connection) {
  std::vector<EndpointConnectionPtr>& idle = idle_[endpoint_id];
  if (idle.size() < kMaxIdle)
    idle.push_back(std::move(connection));
}

void EndpointConnections::Sweep() {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [id, idle] : idle_) {
    std::erase_if(idle, [&](const EndpointConnectionPtr& connection) {
      return now >= connection->usable_until;
    });
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace teaselthread
