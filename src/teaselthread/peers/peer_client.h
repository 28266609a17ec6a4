#ifndef TEASELTHREAD_PEERS_PEER_CLIENT_H_
#define TEASELTHREAD_PEERS_PEER_CLIENT_H_

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "libteaselthread/timestamp.h"
#include "node.grpc.pb.h"
#include "teaselthread/peers/frame_queue.h"

namespace teaselthread {

// Makes gRPC calls to peers. Callbacks run on the node's thread.
class PeerClient {
 public:
  // The RPC methods of a peer, such as &Methods::Heartbeat.
  using Methods = wire::NodePeer::StubInterface::async_interface;
  template <typename Request, typename Reply>
  using Method = void (Methods::*)(grpc::ClientContext*,
                                   const Request*,
                                   Reply*,
                                   std::function<void(grpc::Status)>);
  // Receives nullopt if the call failed or timed out.
  template <typename Reply>
  using OnReply = std::function<void(const std::optional<Reply>&)>;

  explicit PeerClient(asio::io_context* io) : io_(io) {}

  // Makes a unary call.
  template <typename Request, typename Reply>
  void Call(Method<Request, Reply> method,
            const std::string& address,
            Request request,
            Duration timeout,
            std::type_identity_t<OnReply<Reply>> on_reply);
  // Starts a forwarded call, whose frames are written to the returned queue.
  std::shared_ptr<FrameQueue> Forward(const std::string& address,
                                      const wire::ForwardRequest& request);

  // Returns whether a connection is established; starts one if not.
  bool IsConnected(const std::string& address);

  // Makes the next call to the address use a new connection. Calls in progress
  // keep the old one.
  void DropConnection(const std::string& address) { channels_.erase(address); }

 private:
  // The state of a unary call, kept until the call has ended.
  template <typename Request, typename Reply>
  struct UnaryCall {
    std::unique_ptr<wire::NodePeer::Stub> stub;
    grpc::ClientContext context;
    Request request;
    Reply reply;
  };

  std::shared_ptr<grpc::Channel> ChannelTo(const std::string& address);

  asio::io_context* io_;
  std::map<std::string, std::shared_ptr<grpc::Channel>> channels_;
};

template <typename Request, typename Reply>
void PeerClient::Call(Method<Request, Reply> method,
                      const std::string& address,
                      Request request,
                      Duration timeout,
                      std::type_identity_t<OnReply<Reply>> on_reply) {
  auto call = std::make_shared<UnaryCall<Request, Reply>>();
  call->stub = wire::NodePeer::NewStub(ChannelTo(address));
  call->request = std::move(request);
  call->context.set_deadline(std::chrono::system_clock::now() + timeout);
  auto on_done = [io = io_, call,
                  on_reply = std::move(on_reply)](const grpc::Status& status) {
    asio::post(*io, [call, on_reply, ok = status.ok()] {
      on_reply(ok ? std::optional<Reply>(std::move(call->reply))
                  : std::nullopt);
    });
  };
  (call->stub->async()->*method)(&call->context, &call->request, &call->reply,
                                 std::move(on_done));
}

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_PEER_CLIENT_H_
