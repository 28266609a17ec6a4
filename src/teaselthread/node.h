#ifndef TEASELTHREAD_NODE_H_
#define TEASELTHREAD_NODE_H_

#include <memory>

#include "libteaselthread/error.h"
#include "teaselthread/callers/caller_server.h"
#include "teaselthread/endpoint_controller.h"
#include "teaselthread/entry_service.h"
#include "teaselthread/node_state.h"
#include "teaselthread/owner_service.h"
#include "teaselthread/peers/membership_controller.h"
#include "teaselthread/peers/peer_client.h"
#include "teaselthread/peers/peer_server.h"
#include "teaselthread/peers/state_fetcher.h"
#include "teaselthread/platform_controller.h"

namespace teaselthread {

// One node process: its state, its listeners and its controllers.
class Node : public PeerHandler {
 public:
  // Runs until SIGTERM or SIGINT, and then until all requests in progress have
  // ended and the addresses given to callers have expired.
  static Result<int> Run(Settings settings);

  wire::HeartbeatMessage OnHeartbeat(
      const wire::HeartbeatMessage& message) override;
  void OnProbe(const wire::ProbeRequest& request,
               Respond<wire::ProbeReply> respond) override;
  wire::HandOverReply OnHandOver(const wire::HandOverRequest& request) override;
  wire::ConfigurationDocument OnFetchConfiguration(
      const wire::FetchConfigurationRequest& request) override;
  wire::OfferReply OnOfferConfiguration(
      const wire::ConfigurationDocument& document) override;
  wire::EndpointList OnFetchEndpoints(
      const wire::FetchEndpointsRequest& request) override;
  void OnForward(wire::ForwardRequest request,
                 std::shared_ptr<FrameSink> sink) override;

 private:
  Node(asio::io_context* io, Settings settings);

  asio::awaitable<void> DriveTimers();
  asio::awaitable<void> LeaveOnSignal();

  asio::io_context* io_;
  NodeState state_;
  PeerClient peers_;
  OwnerService owner_;
  EntryService entry_;
  StateFetcher fetcher_;
  MembershipController membership_;
  EndpointController endpoints_;
  PlatformController platform_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_NODE_H_
