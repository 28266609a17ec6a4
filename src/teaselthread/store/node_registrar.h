#ifndef TEASELTHREAD_STORE_NODE_REGISTRAR_H_
#define TEASELTHREAD_STORE_NODE_REGISTRAR_H_

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/http_connection.h"

namespace teaselthread {

// Keeps this node's record in the platform's store, by which nodes find each
// other, and reads those of the others.
class NodeRegistrar {
 public:
  explicit NodeRegistrar(GatewayState* state);

  void Start();
  // Takes the record away. Ends after a short time in any case.
  asio::awaitable<void> Deregister();

 private:
  asio::awaitable<void> Run();
  asio::awaitable<bool> Register();
  asio::awaitable<void> ReadRecords(bool may_be_stale);
  asio::awaitable<int> Call(http::verb method,
                            std::string target,
                            std::string body);
  void OnRecord(const StoreObject& object);

  GatewayState* state_;
  HttpConnection connection_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_NODE_REGISTRAR_H_
