#ifndef TEASELTHREAD_GATEWAY_ADMIN_SERVER_H_
#define TEASELTHREAD_GATEWAY_ADMIN_SERVER_H_

#include <memory>
#include <string_view>
#include <vector>

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/listener.h"

namespace teaselthread {

// Serves directory lookups, readiness checks and metrics, each on the address
// given in the settings.
class AdminServer {
 public:
  explicit AdminServer(GatewayState* state) : state_(state) {}

  // Fails with kUnavailable if it cannot listen on one of the addresses.
  Result<bool> Start();

 private:
  using Response = http::response<http::string_body>;

  asio::awaitable<void> Serve(tcp::socket socket);
  Response Respond(std::string_view target);
  Response MakeDirectoryResponse(std::string_view target);
  Response MakeReadinessResponse() const;

  GatewayState* state_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_ADMIN_SERVER_H_
