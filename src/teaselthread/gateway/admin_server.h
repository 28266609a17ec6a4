#ifndef TEASELTHREAD_GATEWAY_ADMIN_SERVER_H_
#define TEASELTHREAD_GATEWAY_ADMIN_SERVER_H_

#include <memory>
#include <string_view>
#include <vector>

#include <map>
#include <memory>
#include <vector>

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/listener.h"

namespace teaselthread {

// Serves directory lookups, readiness checks and metrics, each on the address
// given in the settings. Bounds the connections to all of them; above, those
// that send nothing are closed first.
class AdminServer {
 public:
  explicit AdminServer(GatewayState* state) : state_(state) {}

  // Fails with kUnavailable if it cannot listen on one of the addresses.
  Result<bool> Start();

 private:
  using Response = http::response<http::string_body>;

  void OnConnection(tcp::socket socket);
  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> connection,
                              CallerConnections::Id id);
  asio::awaitable<void> ServeRequests(tcp::socket& socket,
                                      CallerConnections::Id id);
  Response Respond(std::string_view target);
  Response MakeDirectoryResponse(std::string_view target);
  Response MakeReadinessResponse() const;

  GatewayState* state_;
  std::map<CallerConnections::Id, std::shared_ptr<tcp::socket>> connections_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_ADMIN_SERVER_H_
