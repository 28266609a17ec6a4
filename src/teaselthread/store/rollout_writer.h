#ifndef TEASELTHREAD_STORE_ROLLOUT_WRITER_H_
#define TEASELTHREAD_STORE_ROLLOUT_WRITER_H_

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/store/store_client.h"

namespace teaselthread {

// Writes the states of rollouts to the platform's store. Before each write it
// reads the orders and decides again, and the write takes effect only on the
// revision that was read. So a write that is applied late, or one of two
// writers, cannot replace a later decision.
class RolloutWriter {
 public:
  explicit RolloutWriter(GatewayState* state);
  RolloutWriter(const RolloutWriter&) = delete;
  RolloutWriter& operator=(const RolloutWriter&) = delete;

  // Does nothing while rollouts are off.
  void Start();

 private:
  asio::awaitable<void> Run();
  // Reads the orders and makes the writes that are due then. Returns whether
  // all of them succeeded.
  asio::awaitable<bool> WriteStates();
  // The names of the orders, which are up to date now. Empty after a failure.
  asio::awaitable<std::optional<std::set<std::string>>> ReadOrders();
  asio::awaitable<bool> Write(const RolloutWrite& write);

  GatewayState* state_;
  StoreClient client_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_ROLLOUT_WRITER_H_
