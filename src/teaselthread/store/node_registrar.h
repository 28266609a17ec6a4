#ifndef TEASELTHREAD_STORE_NODE_REGISTRAR_H_
#define TEASELTHREAD_STORE_NODE_REGISTRAR_H_

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/store/store_client.h"

namespace teaselthread {

// Registers this node in the platform's store and reads the records of the
// other nodes. Nodes discover each other through these records. A record that
// is gone or differs, since the store was restored from an older copy, is
// written again.
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
  // Returns whether this node's record must be written again.
  asio::awaitable<bool> ReadRecords(bool may_be_stale);
  void OnRecord(const StoreObject& object);

  GatewayState* state_;
  StoreClient client_;
  bool has_own_record_ = false;  // among the records that are being read
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_NODE_REGISTRAR_H_
