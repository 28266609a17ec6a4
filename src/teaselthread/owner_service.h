#ifndef TEASELTHREAD_OWNER_SERVICE_H_
#define TEASELTHREAD_OWNER_SERVICE_H_

#include <map>
#include <memory>
#include <optional>

#include "teaselthread/endpoint_connection_pool.h"
#include "teaselthread/node_state.h"
#include "teaselthread/peers/frame_queue.h"

namespace teaselthread {

// Admits and runs calls to the endpoints that this node owns.
class OwnerService {
 public:
  explicit OwnerService(NodeState* state) : state_(state) {}

  // Runs the call to completion; writes all frames, including the last one, to
  // `sink`.
  asio::awaitable<void> Run(wire::ForwardRequest request,
                            std::shared_ptr<FrameSink> sink);

  // Resumes the calls whose wait in a queue has ended.
  void Resolve(const std::vector<QueueResult>& results);

 private:
  struct Waiter {
    explicit Waiter(asio::io_context& io) : signal(io) {}
    asio::steady_timer signal;
    std::optional<AdmissionDecision> decision;
  };

  asio::awaitable<AdmissionDecision> Admit(const wire::ForwardRequest& request,
                                           const AdmissionRequest& admission,
                                           FrameSink& sink);
  asio::awaitable<void> CallEndpoint(const wire::ForwardRequest& request,
                                     Timestamp admitted_at,
                                     Timestamp deadline,
                                     FrameSink& sink);
  void AttachLoads(const wire::ForwardRequest& request,
                   wire::ForwardFrame* frame) const;

  NodeState* state_;
  EndpointConnectionPool pool_;
  CallId last_call_id_ = 0;
  std::map<CallId, std::shared_ptr<Waiter>> waiters_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_OWNER_SERVICE_H_
