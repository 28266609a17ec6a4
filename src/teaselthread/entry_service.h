#ifndef TEASELTHREAD_ENTRY_SERVICE_H_
#define TEASELTHREAD_ENTRY_SERVICE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libteaselthread/requests/request_context.h"
#include "teaselthread/callers/response_sink.h"
#include "teaselthread/node_state.h"
#include "teaselthread/owner_service.h"
#include "teaselthread/peers/frame_queue.h"
#include "teaselthread/peers/peer_client.h"

namespace teaselthread {

// Processes a caller's request up to its outcome. The request passes the
// filters and is forwarded to the owner of an endpoint. A call that may not be
// repeated first goes to the home node of its idempotency key: the node that
// the ticket in the key names and that records whether the key has run.
class EntryService {
 public:
  EntryService(NodeState* state, OwnerService* owner, PeerClient* peers)
      : state_(state), owner_(owner), peers_(peers) {}

  asio::awaitable<void> Serve(CallerRequest request, ResponseSink& sink);
  // Serves a call that a peer received and whose home node is this one.
  asio::awaitable<void> ServeForPeer(wire::ForwardRequest request,
                                     std::shared_ptr<FrameSink> sink);

 private:
  class BufferingSink;
  struct Attempt;
  using KeySignal = std::shared_ptr<asio::steady_timer>;

  // Processes the request up to its outcome; the response goes to `sink`.
  asio::awaitable<Outcome> Process(RequestContext& context, ResponseSink& sink);
  static void WriteResponse(const BufferingSink& response, FrameSink& sink);
  // Returns the ticket of a call that may not be repeated. Only the home node
  // named in it knows whether the key has run, so no other node refuses such a
  // call.
  std::optional<Ticket> KeyedTicket(const CallerRequest& request) const;
  std::string ProfileLabel(const CallerRequest& request) const;
  // Returns an empty string if the node accepts no new callers.
  std::string CallerAddressOf(const std::string& node) const;
  asio::awaitable<Outcome> ServeFiltered(RequestContext& context,
                                         ResponseSink& sink);
  asio::awaitable<Outcome> ServeKeyed(const RequestContext& context,
                                      const Ticket& ticket,
                                      ResponseSink& sink);
  asio::awaitable<Outcome> RunRouted(const RequestContext& context,
                                     ResponseSink& sink);
  asio::awaitable<Outcome> RunKeyed(const RequestContext& context,
                                    ResponseSink& sink);
  asio::awaitable<Outcome> RunFirstUse(RequestContext context,
                                       ResponseSink& sink);
  asio::awaitable<Outcome> DelegateToHome(const RequestContext& context,
                                          const std::string& address,
                                          ResponseSink& sink);
  asio::awaitable<Outcome> RelayFromHome(const RequestContext& context,
                                         FrameQueue& frames,
                                         ResponseSink& sink);
  asio::awaitable<void> StartAttempt(const RequestContext& context,
                                     const ForwardCall& forward,
                                     Attempt* attempt);
  asio::awaitable<RouteActions> NextActions(const RequestContext& context,
                                            RoutedRequest& routed,
                                            Attempt& attempt);
  RouteActions OnFrame(const wire::ForwardFrame& frame,
                       RoutedRequest& routed,
                       Attempt& attempt);
  RouteActions OnNoFrame(const RequestContext& context,
                         RoutedRequest& routed,
                         Attempt& attempt);
  asio::awaitable<bool> ChannelIsReady(const std::string& address);
  asio::awaitable<void> WaitForKey(const RequestContext& context);
  void NotifyKeyWaiters(const RequestContext& context);

  NodeState* state_;
  OwnerService* owner_;
  PeerClient* peers_;
  std::map<std::string, std::vector<KeySignal>> key_waiters_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENTRY_SERVICE_H_
