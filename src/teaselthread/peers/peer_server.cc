#include "teaselthread/peers/peer_server.h"

#include <atomic>
#include <deque>
#include <mutex>

namespace teaselthread {
namespace {

constexpr int kMaxMessageBytes = 80 << 20;
constexpr std::chrono::milliseconds kShutdownTimeout{200};

// Writes the frames of one forwarded call to the peer that made it. Keeps
// itself alive until gRPC calls OnDone.
class ForwardWriter : public grpc::ServerWriteReactor<wire::ForwardFrame>,
                      public FrameSink {
 public:
  void HoldSelf(std::shared_ptr<ForwardWriter> self) {
    self_ = std::move(self);
  }

  void Write(wire::ForwardFrame frame) override {
    const std::lock_guard lock(mutex_);
    if (finished_)
      return;
    // The first frame is being written. Data frames queued behind it can be
    // merged.
    if (frames_.size() > 1 && frames_.back().has_data() && frame.has_data()) {
      frames_.back().mutable_data()->append(frame.data());
      return;
    }
    frames_.push_back(std::move(frame));
    if (frames_.size() == 1)
      StartWrite(&frames_.front());
  }

  void Close() override {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    if (frames_.empty())
      FinishOnce();
  }

  bool cancelled() const override { return cancelled_; }

  void OnWriteDone(bool succeeded) override {
    const std::lock_guard lock(mutex_);
    frames_.pop_front();
    if (!succeeded) {
      cancelled_ = true;
      frames_.clear();
    }
    if (!frames_.empty())
      StartWrite(&frames_.front());
    else if (closed_ || cancelled_)
      FinishOnce();
  }

  void OnCancel() override { cancelled_ = true; }

  void OnDone() override {
    const std::shared_ptr<ForwardWriter> last = std::move(self_);
  }

 private:
  void FinishOnce() {
    if (!finished_)
      Finish(grpc::Status::OK);
    finished_ = true;
  }

  std::mutex mutex_;
  std::deque<wire::ForwardFrame> frames_;
  std::atomic<bool> cancelled_ = false;
  bool closed_ = false;
  bool finished_ = false;
  std::shared_ptr<ForwardWriter> self_;
};

}  // namespace

// Posts each call from gRPC's threads to the node's thread.
class PeerServer::Service : public wire::NodePeer::CallbackService {
 public:
  Service(asio::io_context* io, PeerHandler* handler)
      : io_(io), handler_(handler) {}

  grpc::ServerUnaryReactor* Heartbeat(grpc::CallbackServerContext* context,
                                      const wire::HeartbeatMessage* request,
                                      wire::HeartbeatMessage* reply) override {
    return RunUnary(context, reply,
                    [=, this] { return handler_->OnHeartbeat(*request); });
  }

  grpc::ServerUnaryReactor* ProbePeer(grpc::CallbackServerContext* context,
                                      const wire::ProbeRequest* request,
                                      wire::ProbeReply* reply) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    asio::post(*io_, [=, this] {
      handler_->OnProbe(*request, [=](wire::ProbeReply result) {
        *reply = std::move(result);
        reactor->Finish(grpc::Status::OK);
      });
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* HandOver(grpc::CallbackServerContext* context,
                                     const wire::HandOverRequest* request,
                                     wire::HandOverReply* reply) override {
    return RunUnary(context, reply,
                    [=, this] { return handler_->OnHandOver(*request); });
  }

  grpc::ServerUnaryReactor* FetchConfiguration(
      grpc::CallbackServerContext* context,
      const wire::FetchConfigurationRequest* request,
      wire::ConfigurationDocument* reply) override {
    return RunUnary(context, reply, [=, this] {
      return handler_->OnFetchConfiguration(*request);
    });
  }

  grpc::ServerUnaryReactor* OfferConfiguration(
      grpc::CallbackServerContext* context,
      const wire::ConfigurationDocument* request,
      wire::OfferReply* reply) override {
    return RunUnary(context, reply, [=, this] {
      return handler_->OnOfferConfiguration(*request);
    });
  }

  grpc::ServerUnaryReactor* FetchEndpoints(
      grpc::CallbackServerContext* context,
      const wire::FetchEndpointsRequest* request,
      wire::EndpointList* reply) override {
    return RunUnary(context, reply,
                    [=, this] { return handler_->OnFetchEndpoints(*request); });
  }

  grpc::ServerWriteReactor<wire::ForwardFrame>* Forward(
      grpc::CallbackServerContext* /*context*/,
      const wire::ForwardRequest* request) override {
    auto writer = std::make_shared<ForwardWriter>();
    writer->HoldSelf(writer);
    asio::post(*io_, [handler = handler_, request = *request, writer] {
      handler->OnForward(request, writer);
    });
    return writer.get();
  }

 private:
  template <typename Reply, typename Function>
  grpc::ServerUnaryReactor* RunUnary(grpc::CallbackServerContext* context,
                                     Reply* reply,
                                     Function function) {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    asio::post(*io_, [=] {
      *reply = function();
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  asio::io_context* io_;
  PeerHandler* handler_;
};

Result<std::unique_ptr<PeerServer>> PeerServer::Start(
    const std::string& address,
    asio::io_context* io,
    PeerHandler* handler) {
  auto service = std::make_unique<Service>(io, handler);
  grpc::ServerBuilder builder;
  int bound_port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(),
                           &bound_port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.RegisterService(service.get());
  std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  if (!server || bound_port == 0) {
    return Error{ErrorCode::kUnavailable,
                 "cannot listen for peers on " + address};
  }
  return std::unique_ptr<PeerServer>(
      new PeerServer(std::move(service), std::move(server)));
}

PeerServer::PeerServer(std::unique_ptr<Service> service,
                       std::unique_ptr<grpc::Server> server)
    : service_(std::move(service)), server_(std::move(server)) {}

PeerServer::~PeerServer() {
  server_->Shutdown(std::chrono::system_clock::now() + kShutdownTimeout);
}

}  // namespace teaselthread
