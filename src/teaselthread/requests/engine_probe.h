#ifndef TEASELTHREAD_REQUESTS_ENGINE_PROBE_H_
#define TEASELTHREAD_REQUESTS_ENGINE_PROBE_H_

#include <functional>
#include <set>

#include "libteaselthread/endpoints/crash_evidence_queue.h"
#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/requests/endpoint_connections.h"

namespace teaselthread {

// Connects to engines that have broken a connection, to learn whether they
// still run. A connection that is accepted goes into the pool, so that a
// request can use it. The queue decides when to connect.
class EngineProbe {
 public:
  // Calls `on_checked` after each probe, and regularly while evidence against
  // an engine is pending. The arguments must outlive the io_context's run.
  EngineProbe(GatewayState* state,
              EndpointConnections* connections,
              CrashEvidenceQueue* queue,
              std::function<void()> on_checked);

  // Watches the engine until no evidence against it is pending. Does nothing if
  // it is watched already.
  void Start(const EndpointPtr& engine);

 private:
  asio::awaitable<void> Watch(EndpointPtr engine);
  asio::awaitable<void> Connect(EndpointPtr engine);

  GatewayState* state_;
  EndpointConnections* connections_;
  CrashEvidenceQueue* queue_;
  std::function<void()> on_checked_;
  std::set<EndpointPtr> watched_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_ENGINE_PROBE_H_
