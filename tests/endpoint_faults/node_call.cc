#include "endpoint_faults/node_call.h"

namespace teaselthread::test {
namespace {

class CollectingSink : public FrameSink {
 public:
  void Write(wire::ForwardFrame frame) override { body += frame.data(); }
  void Close() override {}
  bool cancelled() const override { return false; }

  std::string body;
};

}  // namespace

asio::awaitable<std::optional<std::string>> CallEndpoint(
    SocketAddress address,
    EndpointConnectionPool* pool,
    Duration timeout) {
  wire::ForwardRequest request;
  request.set_repeatable(true);
  Endpoint endpoint;
  endpoint.address = address;
  CollectingSink sink;
  const auto now = [] { return Timestamp(); };
  EndpointCall call(endpoint, request,
                    {timeout, timeout, now() + timeout, now() + timeout}, pool,
                    now);
  const Outcome outcome = co_await call.Run(sink);
  co_return outcome.answered() ? std::optional(sink.body) : std::nullopt;
}

}  // namespace teaselthread::test
