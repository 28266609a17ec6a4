#ifndef TEASELTHREAD_PEERS_STATE_FETCHER_H_
#define TEASELTHREAD_PEERS_STATE_FETCHER_H_

#include <string>

#include "teaselthread/node_state.h"
#include "teaselthread/peers/peer_client.h"

namespace teaselthread {

// Passes the configuration and the list of endpoints on between nodes, so that
// one node that has seen a newer version suffices for all.
class StateFetcher {
 public:
  StateFetcher(NodeState* state, PeerClient* peers)
      : state_(state), peers_(peers) {}

  // Fetches what the sender of the heartbeat has newer than this node.
  void OnPeerVersions(const wire::HeartbeatMessage& message);

  wire::ConfigurationDocument OnFetchConfiguration(
      const wire::FetchConfigurationRequest& request) const;
  wire::OfferReply OnOfferConfiguration(
      const wire::ConfigurationDocument& document);
  wire::EndpointList OnFetchEndpoints(
      const wire::FetchEndpointsRequest& request) const;

 private:
  void FetchConfiguration(const std::string& address);
  void FetchEndpoints(const std::string& address);
  void Take(const wire::ConfigurationDocument& document);
  void Take(const wire::EndpointList& list);

  NodeState* state_;
  PeerClient* peers_;
  bool fetching_configuration_ = false;
  bool fetching_endpoints_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_STATE_FETCHER_H_
