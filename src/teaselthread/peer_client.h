#ifndef TEASELTHREAD_DAEMON_PEER_CLIENT_H_
#define TEASELTHREAD_DAEMON_PEER_CLIENT_H_

#include <grpcpp/grpcpp.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "libteaselthread/timestamp.h"
#include "node.grpc.pb.h"
#include "teaselthread/frame_queue.h"

namespace teaselthread {

// Calls to peers by gRPC. Replies arrive on the node's thread.
class PeerClient {
 public:
  template <typename Reply>
  using OnReply = std::function<void(const std::optional<Reply>&)>;

  explicit PeerClient(asio::io_context* io) : io_(io) {}

  void Heartbeat(const std::string& address,
                 wire::HeartbeatMessage message,
                 Duration timeout,
                 OnReply<wire::HeartbeatMessage> on_reply);
  void ProbePeer(const std::string& address,
                 wire::ProbeRequest request,
                 Duration timeout,
                 OnReply<wire::ProbeReply> on_reply);
  void HandOver(const std::string& address,
                wire::HandOverRequest request,
                Duration timeout,
                OnReply<wire::HandOverReply> on_reply);
  void FetchConfiguration(const std::string& address,
                          wire::FetchConfigurationRequest request,
                          Duration timeout,
                          OnReply<wire::ConfigurationDocument> on_reply);
  void OfferConfiguration(const std::string& address,
                          wire::ConfigurationDocument document,
                          Duration timeout,
                          OnReply<wire::OfferReply> on_reply);
  void FetchEndpoints(const std::string& address,
                      wire::FetchEndpointsRequest request,
                      Duration timeout,
                      OnReply<wire::EndpointList> on_reply);
  // Starts the call; its frames arrive in the queue.
  std::shared_ptr<FrameQueue> Forward(const std::string& address,
                                      const wire::ForwardRequest& request);

  // Whether a connection stands; starts one if not.
  bool IsConnected(const std::string& address);

  // The next call to the address gets a new connection. Calls in progress
  // keep the old one.
  void DropConnection(const std::string& address) { channels_.erase(address); }

 private:
  std::shared_ptr<grpc::Channel> ChannelTo(const std::string& address);
  template <typename Request, typename Reply, typename Method>
  void CallUnary(const std::string& address,
                 Request request,
                 Duration timeout,
                 OnReply<Reply> on_reply,
                 Method method);

  asio::io_context* io_;
  std::map<std::string, std::shared_ptr<grpc::Channel>> channels_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_DAEMON_PEER_CLIENT_H_
