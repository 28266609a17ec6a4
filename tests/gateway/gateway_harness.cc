#include "gateway/gateway_harness.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <sstream>

#include "platform/wire_names.h"

#include "gateway/gateway_fixtures.h"

namespace teaselthread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kExchangeTimeout = seconds(3);

uint16_t FreePort(asio::io_context& io) {
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

std::string FieldOf(const std::string& head, const std::string& name) {
  const size_t start = head.find("\r\n" + name + ": ");
  if (start == std::string::npos)
    return {};
  const size_t value = start + name.size() + 4;
  return head.substr(value, head.find("\r\n", value) - value);
}

}  // namespace

GatewaySettings MakeSettings(uint16_t port) {
  std::ostringstream text;
  text << "[gateway]\nname = node-a\nzone = a\nlog_level = error\n";
  for (const char* key :
       {"front_listen", "readiness_listen", "directory_listen",
        "metrics_listen", "peer_listen", "store"}) {
    text << key << " = 127.0.0.1:" << port << "\n";
  }
  return GatewaySettings::Parse(text.str(), "test").TakeValue();
}

ScriptedEndpoint::ScriptedEndpoint(asio::io_context* io, Script script)
    : acceptor_(*io, {asio::ip::make_address("127.0.0.1"), 0}),
      script_(std::move(script)) {
  asio::co_spawn(*io, Accept(), asio::detached);
}

SocketAddress ScriptedEndpoint::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

asio::awaitable<void> ScriptedEndpoint::Accept() {
  for (;;) {
    auto [failure, socket] = co_await acceptor_.async_accept(kAsTuple);
    if (failure)
      co_return;
    ++connections_;
    asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                   asio::detached);
  }
}

void ScriptedEndpoint::Stop(bool resets) {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (tcp::socket* socket : sockets_) {
    if (resets)
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  sockets_.clear();
}

asio::awaitable<void> ScriptedEndpoint::Serve(tcp::socket socket) {
  sockets_.insert(&socket);
  co_await ServeRequests(socket);
  sockets_.erase(&socket);
}

asio::awaitable<void> ScriptedEndpoint::ServeRequests(tcp::socket& socket) {
  std::string buffer;
  for (;;) {
    auto [failure, head_size] = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(buffer), "\r\n\r\n", kAsTuple);
    if (failure)
      co_return;
    const std::string head = buffer.substr(0, head_size);
    buffer.erase(0, head_size);
    const std::string id = FieldOf(head, std::string(platform::kRequestId));
    heads_.push_back(head);
    const Reply reply = script_(head, id, static_cast<int>(heads_.size()) - 1);
    const std::string length = FieldOf(head, "Content-Length");
    const size_t body_size = length.empty() ? 0 : std::stoul(length);
    if (reply.reads_body && buffer.size() < body_size) {
      const size_t rest = body_size - buffer.size();
      co_await asio::async_read(socket, asio::dynamic_buffer(buffer),
                                asio::transfer_exactly(rest), kAsTuple);
    }
    if (reply.reads_body)
      buffer.erase(0, body_size);
    if (reply.crashes) {
      Stop(true);
      co_return;
    }
    co_await asio::async_write(socket, asio::buffer(reply.bytes), kAsTuple);
    if (reply.exits) {
      Stop(false);
      co_return;
    }
    if (reply.repeated.empty() &&
        (reply.pause > Duration::zero() || !reply.rest.empty())) {
      asio::steady_timer pause(acceptor_.get_executor(), reply.pause);
      co_await pause.async_wait(kAsTuple);
      co_await asio::async_write(socket, asio::buffer(reply.rest), kAsTuple);
    }
    if (!reply.repeated.empty()) {
      co_await Repeat(socket, reply);
      co_return;
    }
    if (reply.half_closes) {
      co_await HalfClose(socket, reply);
      co_return;
    }
    boost::system::error_code ignored;
    if (reply.resets)
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
    // Closed explicitly, since the destructor would not reset the connection.
    if (reply.resets)
      socket.close(ignored);
    if (reply.resets || reply.closes)
      co_return;
    const std::string sent = reply.bytes + reply.rest;
    if (!sent.empty() && IsComplete(sent))
      continue;
    char byte = 0;
    auto [closed, count] =
        co_await socket.async_read_some(asio::buffer(&byte, 1), kAsTuple);
    if (closed)
      ++abandoned_;
    co_return;
  }
}

asio::awaitable<void> ScriptedEndpoint::Repeat(tcp::socket& socket,
                                               const Reply& reply) {
  asio::steady_timer pause(acceptor_.get_executor());
  size_t total = 0;
  for (;;) {
    if (reply.pause > Duration::zero()) {
      pause.expires_after(reply.pause);
      co_await pause.async_wait(kAsTuple);
    }
    auto [failure, count] = co_await asio::async_write(
        socket, asio::buffer(reply.repeated), kAsTuple);
    total += count;
    most_repeated_bytes_ = std::max(most_repeated_bytes_, total);
    if (failure)
      break;
  }
  ++abandoned_;
}

asio::awaitable<void> ScriptedEndpoint::HalfClose(tcp::socket& socket,
                                                  const Reply& reply) {
  boost::system::error_code failure;
  socket.shutdown(tcp::socket::shutdown_send, failure);
  if (reply.resets) {
    socket.set_option(asio::socket_base::linger(true, 0), failure);
    socket.close(failure);
    co_return;
  }
  if (reply.stops_reading) {
    co_await socket.async_wait(tcp::socket::wait_error, kAsTuple);
    co_return;
  }
  std::string part(65'536, '\0');
  while (!failure) {
    auto [ended, count] =
        co_await socket.async_read_some(asio::buffer(part), kAsTuple);
    failure = ended;
  }
}

GatewayHarness::GatewayHarness()
    : state_(std::make_unique<GatewayState>(&io_,
                                            MakeSettings(FreePort(io_)),
                                            &codec_)),
      front_(std::make_unique<FrontServer>(state_.get())) {
  state_->UpdateRoutes(MakeRoutes());
  state_->configuration_freshness().OnConfirmed(GatewayState::BootNow());
  state_->set_endpoints_known();
  state_->peers().OnRecordsRead(state_->Now());
  front_->Start();
}

void GatewayHarness::AddEndpoint(const std::string& id,
                                 const std::string& service,
                                 const ScriptedEndpoint& endpoint,
                                 const std::string& version) {
  EndpointRecord record = MakeDeskRecord(id, "a");
  record.version = version;
  record.service = service;
  record.address = endpoint.address();
  state_->endpoints().Put(record, state_->Now());
}

std::string GatewayHarness::Exchange(
    const std::string& bytes,
    const std::function<bool(const std::string&)>& complete) {
  std::string response;
  bool ended = false;
  tcp::socket socket(io_);
  asio::co_spawn(
      io_,
      [&]() -> asio::awaitable<void> {
        const SocketAddress& address = state_->settings().front_listen();
        const tcp::endpoint target(asio::ip::make_address(address.host),
                                   address.port);
        co_await socket.async_connect(target, kAsTuple);
        // Not awaited, since the gateway may respond before it has read the
        // whole request.
        asio::async_write(socket, asio::buffer(bytes),
                          [](const boost::system::error_code&, size_t) {});
        std::string part(4'096, '\0');
        while (!complete(response)) {
          auto [failure, count] =
              co_await socket.async_read_some(asio::buffer(part), kAsTuple);
          last_failure_ = failure;
          if (failure)
            break;
          response.append(part, 0, count);
        }
        ended = true;
        io_.stop();
      },
      asio::detached);
  io_.restart();
  io_.run_for(kExchangeTimeout);
  boost::system::error_code ignored;
  socket.close(ignored);
  if (!ended)
    RunFor(milliseconds(20));
  return response;
}

void GatewayHarness::SendAndDisconnect(const std::string& bytes,
                                       Duration close_after) {
  tcp::socket socket(io_);
  const SocketAddress& address = state_->settings().front_listen();
  socket.connect({asio::ip::make_address(address.host), address.port});
  asio::write(socket, asio::buffer(bytes));
  RunFor(close_after);
  socket.close();
}

void GatewayHarness::RunFor(Duration time) {
  io_.restart();
  io_.run_for(time);
}

void ScriptedEndpointsFixture::Start(const std::string& service,
                                     int count,
                                     const ScriptedEndpoint::Script& script) {
  for (int i = 0; i < count; ++i) {
    endpoints.push_back(
        std::make_unique<ScriptedEndpoint>(&harness.io(), script));
    harness.AddEndpoint(service + "-" + std::to_string(i), service,
                        *endpoints.back());
  }
}

std::string Field(std::string_view name, const std::string& value) {
  return std::string(name) + ": " + value + "\r\n";
}

std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        const std::string& body,
                        const std::string& more_fields) {
  std::string request = method + " " + path +
                        " HTTP/1.1\r\nHost: shop.example\r\n" +
                        Field(platform::kRequestId, id) +
                        Field(platform::kKey, "key-1") + more_fields;
  if (!body.empty())
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return request + "\r\n" + body;
}

std::string MakeResponse(const std::string& id,
                         const std::string& body,
                         const std::string& status,
                         const std::string& more_fields) {
  return "HTTP/1.1 " + status + "\r\n" + Field(platform::kRequestId, id) +
         "X-Seal: seal-" + id + "\r\n" + more_fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string StreamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\n" + Field(platform::kRequestId, id) +
         "X-Seal: seal-" + id +
         "\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(const std::string& bytes) {
  std::ostringstream chunk;
  chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return chunk.str();
}

std::string EventChunk(int id) {
  return Chunk("id: " + std::to_string(id) + "\ndata: piece\n\n");
}

std::string ServiceOf(const std::string& path) {
  return path == "/chat/" ? "pool" : "desk";
}

std::string WholeResponse(const std::string& service, const std::string& id) {
  return service == "pool" ? StreamHead(id) + EventChunk(1) + kLastChunk
                           : MakeResponse(id, "done");
}

bool HasStatus(const std::string& response, const std::string& status) {
  return response.size() > 12 && response.substr(9, 3) == status;
}

bool IsComplete(const std::string& response) {
  const size_t head_end = response.find("\r\n\r\n");
  if (head_end == std::string::npos)
    return false;
  const std::string body = response.substr(head_end + 4);
  const std::string length =
      FieldOf(response.substr(0, head_end + 2), "Content-Length");
  if (!length.empty())
    return body.size() >= std::stoul(length);
  const std::string last(kLastChunk);
  return body.size() >= last.size() &&
         body.compare(body.size() - last.size(), last.size(), last) == 0;
}

}  // namespace teaselthread::test
