#ifndef TEASELTHREAD_ENTRY_SERVICE_H_
#define TEASELTHREAD_ENTRY_SERVICE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libteaselthread/requests/request_context.h"
#include "teaselthread/callers/answer_sink.h"
#include "teaselthread/node_state.h"
#include "teaselthread/owner_service.h"
#include "teaselthread/peers/frame_queue.h"
#include "teaselthread/peers/peer_client.h"

namespace teaselthread {

// Takes a request from its caller to its outcome: filters, then, for a call
// that may not be repeated, the home of its key, then the owner of an endpoint.
class EntryService {
 public:
  EntryService(NodeState* state, OwnerService* owner, PeerClient* peers)
      : state_(state), owner_(owner), peers_(peers) {}

  asio::awaitable<void> Serve(CallerRequest request, AnswerSink& sink);
  // Serves a call whose key is at home here and that came in at a peer.
  asio::awaitable<void> ServeForPeer(wire::ForwardRequest request,
                                     std::shared_ptr<FrameSink> sink);

 private:
  class CapturingSink;
  struct Attempt;
  using JoinSignal = std::shared_ptr<asio::steady_timer>;

  // Takes the request to its outcome; its answer goes to `sink`.
  asio::awaitable<Outcome> Decide(RequestContext& context, AnswerSink& sink);
  static void WriteAnswer(const CapturingSink& answer, FrameSink& sink);
  // The ticket of a call that may not be repeated. Only the home that it names
  // can say whether the key has run, so no other node refuses such a call.
  std::optional<Ticket> KeyedTicket(const CallerRequest& request) const;
  std::string ProfileLabel(const CallerRequest& request) const;
  // Empty if the node takes no new callers.
  std::string CallerAddressOf(const std::string& node) const;
  asio::awaitable<Outcome> ServeFiltered(RequestContext& context,
                                         AnswerSink& sink);
  asio::awaitable<Outcome> ServeKeyed(const RequestContext& context,
                                      const Ticket& ticket,
                                      AnswerSink& sink);
  asio::awaitable<Outcome> RunRouted(const RequestContext& context,
                                     AnswerSink& sink);
  asio::awaitable<Outcome> RunKeyed(const RequestContext& context,
                                    AnswerSink& sink);
  asio::awaitable<Outcome> RunFirstUse(RequestContext context,
                                       AnswerSink& sink);
  asio::awaitable<Outcome> DelegateToHome(const RequestContext& context,
                                          const std::string& address,
                                          AnswerSink& sink);
  asio::awaitable<Outcome> RelayFromHome(const RequestContext& context,
                                         FrameQueue& frames,
                                         AnswerSink& sink);
  asio::awaitable<void> StartAttempt(const RequestContext& context,
                                     const ForwardCall& forward,
                                     Attempt* attempt);
  asio::awaitable<RouteActions> NextActions(const RequestContext& context,
                                            RoutedRequest& routed,
                                            Attempt& attempt);
  RouteActions OnFrame(const wire::ForwardFrame& frame,
                       RoutedRequest& routed,
                       Attempt& attempt);
  RouteActions OnSilence(const RequestContext& context,
                         RoutedRequest& routed,
                         Attempt& attempt);
  asio::awaitable<bool> ChannelIsReady(const std::string& address);
  asio::awaitable<void> WaitForKey(const RequestContext& context);
  void WakeJoiners(const RequestContext& context);

  NodeState* state_;
  OwnerService* owner_;
  PeerClient* peers_;
  std::map<std::string, std::vector<JoinSignal>> joiners_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENTRY_SERVICE_H_
