#ifndef TEASELTHREAD_PEERS_STATE_FETCHER_H_
#define TEASELTHREAD_PEERS_STATE_FETCHER_H_

#include <string>

#include "teaselthread/node_state.h"
#include "teaselthread/peers/peer_client.h"

namespace teaselthread {

// Exchanges the configuration and the list of endpoints between nodes, so that
// a newer version that any node has received reaches all of them.
class StateFetcher {
 public:
  StateFetcher(NodeState* state, PeerClient* peers)
      : state_(state), peers_(peers) {}

  // Fetches from the sender of the heartbeat whatever it has in a newer version
  // than this node.
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
  void Apply(const wire::ConfigurationDocument& document);
  void Apply(const wire::EndpointList& list);

  NodeState* state_;
  PeerClient* peers_;
  bool fetching_configuration_ = false;
  bool fetching_endpoints_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_STATE_FETCHER_H_
