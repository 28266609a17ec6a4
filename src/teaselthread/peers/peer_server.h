#ifndef TEASELTHREAD_PEERS_PEER_SERVER_H_
#define TEASELTHREAD_PEERS_PEER_SERVER_H_

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <string>

#include "libteaselthread/error.h"
#include "node.grpc.pb.h"
#include "teaselthread/peers/frame_queue.h"

namespace teaselthread {

// Handles the calls of peers. All functions are called on the node's thread.
class PeerHandler {
 public:
  template <typename Reply>
  using Respond = std::function<void(Reply)>;

  virtual ~PeerHandler() = default;
  virtual wire::HeartbeatMessage OnHeartbeat(
      const wire::HeartbeatMessage& message) = 0;
  virtual void OnProbe(const wire::ProbeRequest& request,
                       Respond<wire::ProbeReply> respond) = 0;
  virtual wire::HandOverReply OnHandOver(
      const wire::HandOverRequest& request) = 0;
  virtual wire::ConfigurationDocument OnFetchConfiguration(
      const wire::FetchConfigurationRequest& request) = 0;
  virtual wire::OfferReply OnOfferConfiguration(
      const wire::ConfigurationDocument& document) = 0;
  virtual wire::EndpointList OnFetchEndpoints(
      const wire::FetchEndpointsRequest& request) = 0;
  virtual void OnForward(wire::ForwardRequest request,
                         std::shared_ptr<FrameSink> sink) = 0;
};

// The gRPC server for peers.
class PeerServer {
 public:
  static Result<std::unique_ptr<PeerServer>> Start(const std::string& address,
                                                   asio::io_context* io,
                                                   PeerHandler* handler);
  ~PeerServer();

 private:
  class Service;
  PeerServer(std::unique_ptr<Service> service,
             std::unique_ptr<grpc::Server> server);

  std::unique_ptr<Service> service_;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_PEER_SERVER_H_
