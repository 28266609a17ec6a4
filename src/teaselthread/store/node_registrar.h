#ifndef TEASELTHREAD_STORE_NODE_REGISTRAR_H_
#define TEASELTHREAD_STORE_NODE_REGISTRAR_H_

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/http_connection.h"

namespace teaselthread {

// Registers this node in the platform's store and reads the records of the
// other nodes. Nodes discover each other through these records.
class NodeRegistrar {
 public:
  explicit NodeRegistrar(GatewayState* state);

  void Start();
  // Deletes this node's record. Completes within a short time even if the store
  // does not respond.
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
