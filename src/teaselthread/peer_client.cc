#include "teaselthread/peer_client.h"

#include <chrono>

namespace teaselthread {
namespace {

constexpr int kMinReconnectMs = 100;
constexpr int kMaxReconnectMs = 1'000;
constexpr int kMaxMessageBytes = 80 << 20;

// One unary call; lives until its reply has arrived.
template <typename Request, typename Reply>
struct UnaryCall {
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<wire::NodePeer::Stub> stub;
  grpc::ClientContext context;
  Request request;
  Reply reply;
};

// Reads the frames of one forwarded call into a queue. Owns itself until gRPC
// is done with it.
class ForwardReader : public grpc::ClientReadReactor<wire::ForwardFrame> {
 public:
  ForwardReader(asio::io_context* io,
                std::shared_ptr<FrameQueue> queue,
                std::shared_ptr<grpc::Channel> channel,
                const wire::ForwardRequest& request)
      : io_(io),
        queue_(std::move(queue)),
        channel_(std::move(channel)),
        stub_(wire::NodePeer::NewStub(channel_)),
        request_(request) {}

  void Start(std::shared_ptr<ForwardReader> self) {
    self_ = std::move(self);
    const auto remaining = std::chrono::milliseconds(request_.remaining_ms());
    context_.set_deadline(std::chrono::system_clock::now() + remaining +
                          kDeadlineGrace);
    stub_->async()->Forward(&context_, &request_, this);
    StartRead(&frame_);
    StartCall();
  }

  void Cancel() { context_.TryCancel(); }

  void OnReadDone(bool succeeded) override {
    if (!succeeded)
      return;
    asio::post(*io_, [queue = queue_, frame = std::move(frame_)]() mutable {
      queue->Write(std::move(frame));
    });
    frame_ = {};
    StartRead(&frame_);
  }

  void OnDone(const grpc::Status& /*status*/) override {
    asio::post(*io_, [queue = queue_] { queue->Close(); });
    self_.reset();
  }

 private:
  // The node's own deadline comes first and gives the better answer.
  static constexpr std::chrono::seconds kDeadlineGrace{2};

  asio::io_context* io_;
  std::shared_ptr<FrameQueue> queue_;
  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<wire::NodePeer::Stub> stub_;
  grpc::ClientContext context_;
  wire::ForwardRequest request_;
  wire::ForwardFrame frame_;
  std::shared_ptr<ForwardReader> self_;
};

}  // namespace

template <typename Request, typename Reply, typename Method>
void PeerClient::CallUnary(const std::string& address,
                           Request request,
                           Duration timeout,
                           OnReply<Reply> on_reply,
                           Method method) {
  auto call = std::make_shared<UnaryCall<Request, Reply>>();
  call->channel = ChannelTo(address);
  call->stub = wire::NodePeer::NewStub(call->channel);
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

namespace {

using Async = wire::NodePeer::StubInterface::async_interface;
using OnStatus = std::function<void(grpc::Status)>;

template <typename Request, typename Reply>
using UnaryMethod =
    void (Async::*)(grpc::ClientContext*, const Request*, Reply*, OnStatus);

}  // namespace

void PeerClient::Heartbeat(const std::string& address,
                           wire::HeartbeatMessage message,
                           Duration timeout,
                           OnReply<wire::HeartbeatMessage> on_reply) {
  const UnaryMethod<wire::HeartbeatMessage, wire::HeartbeatMessage> method =
      &Async::Heartbeat;
  CallUnary(address, std::move(message), timeout, std::move(on_reply), method);
}

void PeerClient::ProbePeer(const std::string& address,
                           wire::ProbeRequest request,
                           Duration timeout,
                           OnReply<wire::ProbeReply> on_reply) {
  const UnaryMethod<wire::ProbeRequest, wire::ProbeReply> method =
      &Async::ProbePeer;
  CallUnary(address, std::move(request), timeout, std::move(on_reply), method);
}

void PeerClient::HandOver(const std::string& address,
                          wire::HandOverRequest request,
                          Duration timeout,
                          OnReply<wire::HandOverReply> on_reply) {
  const UnaryMethod<wire::HandOverRequest, wire::HandOverReply> method =
      &Async::HandOver;
  CallUnary(address, std::move(request), timeout, std::move(on_reply), method);
}

void PeerClient::FetchConfiguration(
    const std::string& address,
    wire::FetchConfigurationRequest request,
    Duration timeout,
    OnReply<wire::ConfigurationDocument> on_reply) {
  const UnaryMethod<wire::FetchConfigurationRequest,
                    wire::ConfigurationDocument>
      method = &Async::FetchConfiguration;
  CallUnary(address, std::move(request), timeout, std::move(on_reply), method);
}

void PeerClient::OfferConfiguration(const std::string& address,
                                    wire::ConfigurationDocument document,
                                    Duration timeout,
                                    OnReply<wire::OfferReply> on_reply) {
  const UnaryMethod<wire::ConfigurationDocument, wire::OfferReply> method =
      &Async::OfferConfiguration;
  CallUnary(address, std::move(document), timeout, std::move(on_reply), method);
}

void PeerClient::FetchEndpoints(const std::string& address,
                                wire::FetchEndpointsRequest request,
                                Duration timeout,
                                OnReply<wire::EndpointList> on_reply) {
  const UnaryMethod<wire::FetchEndpointsRequest, wire::EndpointList> method =
      &Async::FetchEndpoints;
  CallUnary(address, request, timeout, std::move(on_reply), method);
}

std::shared_ptr<FrameQueue> PeerClient::Forward(
    const std::string& address,
    const wire::ForwardRequest& request) {
  auto queue = std::make_shared<FrameQueue>(io_->get_executor());
  auto reader =
      std::make_shared<ForwardReader>(io_, queue, ChannelTo(address), request);
  queue->set_on_cancel([weak = std::weak_ptr<ForwardReader>(reader)] {
    if (auto running = weak.lock())
      running->Cancel();
  });
  reader->Start(reader);
  return queue;
}

bool PeerClient::IsConnected(const std::string& address) {
  return ChannelTo(address)->GetState(/*try_to_connect=*/true) ==
         GRPC_CHANNEL_READY;
}

std::shared_ptr<grpc::Channel> PeerClient::ChannelTo(
    const std::string& address) {
  std::shared_ptr<grpc::Channel>& channel = channels_[address];
  if (channel)
    return channel;
  grpc::ChannelArguments arguments;
  // The node decides about retries. A channel of its own makes a new channel
  // mean a new connection.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  channel = grpc::CreateCustomChannel(
      address, grpc::InsecureChannelCredentials(), arguments);
  return channel;
}

}  // namespace teaselthread
