#ifndef TEASELTHREAD_GATEWAY_ADMIN_SERVER_H_
#define TEASELTHREAD_GATEWAY_ADMIN_SERVER_H_

#include <memory>
#include <string_view>
#include <vector>

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/listener.h"

namespace teaselthread {

// Answers the directory's callers, readiness checks and metrics collectors, on
// the addresses that the settings give each of them.
class AdminServer {
 public:
  explicit AdminServer(GatewayState* state) : state_(state) {}

  // Fails with kUnavailable if an address cannot be listened on.
  Result<bool> Start();

 private:
  using Response = http::response<http::string_body>;

  asio::awaitable<void> Serve(tcp::socket socket);
  Response Answer(std::string_view target);
  Response AnswerDirectory(std::string_view target);
  Response AnswerReadiness() const;

  GatewayState* state_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_ADMIN_SERVER_H_
