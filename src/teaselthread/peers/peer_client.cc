#include "teaselthread/peers/peer_client.h"

#include <chrono>

namespace teaselthread {
namespace {

constexpr int kMinReconnectMs = 100;
constexpr int kMaxReconnectMs = 1'000;
constexpr int kMaxMessageBytes = 80 << 20;

// Reads the frames of one forwarded call into a queue. Keeps itself alive until
// gRPC calls OnDone.
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
  // Lets the node's own deadline expire first, since it gives a more precise
  // outcome.
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
  // The node itself decides on retries, so those of gRPC are disabled. With a
  // local subchannel pool, a new channel always opens a new connection.
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
