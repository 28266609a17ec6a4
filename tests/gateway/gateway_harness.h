#ifndef TEASELTHREAD_TESTS_GATEWAY_GATEWAY_HARNESS_H_
#define TEASELTHREAD_TESTS_GATEWAY_GATEWAY_HARNESS_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/platform_codec.h"
#include "teaselthread/gateway/front_server.h"

namespace teaselthread::test {

// Settings with all addresses on one port of 127.0.0.1.
GatewaySettings MakeSettings(uint16_t port);

// An endpoint that replies to each request with the bytes that a script
// returns, and records the request headers.
class ScriptedEndpoint {
 public:
  struct Reply {
    std::string bytes;
    bool closes = false;  // closes in an orderly way after the bytes
    bool resets = false;  // resets the connection after the bytes
    bool reads_body = true;
    // Closes its side of the connection after the bytes and reads on, unless it
    // stops reading or resets the connection, until the gateway closes it.
    bool half_closes = false;
    bool stops_reading = false;
    // Sent again and again after the bytes until the gateway closes the
    // connection, each time after a pause.
    std::string repeated = {};
    Duration pause = Duration::zero();
    // Sent once after the bytes and a pause. A reset follows both.
    std::string rest = {};
    // The endpoint ends: it resets all its connections and refuses new ones.
    bool crashes = false;
    // The endpoint's process ends after the bytes: the kernel closes all its
    // connections in an orderly way, and new ones are refused.
    bool exits = false;
  };
  // Called with the request's header, its id and its number, starting at 0.
  using Script = std::function<
      Reply(const std::string& head, const std::string& id, int number)>;

  ScriptedEndpoint(asio::io_context* io, Script script);

  SocketAddress address() const;
  const std::vector<std::string>& heads() const { return heads_; }
  int connections() const { return connections_; }
  // Number of connections that the gateway closed while a response was pending.
  int abandoned() const { return abandoned_; }
  // Most bytes of `repeated` that one connection has taken, up to what the
  // kernel holds for it.
  size_t most_repeated_bytes() const { return most_repeated_bytes_; }

 private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(tcp::socket socket);
  asio::awaitable<void> ServeRequests(tcp::socket& socket);
  asio::awaitable<void> Repeat(tcp::socket& socket, const Reply& reply);
  static asio::awaitable<void> HalfClose(tcp::socket& socket,
                                         const Reply& reply);
  // Closes all connections and refuses new ones.
  void Stop(bool resets);

  tcp::acceptor acceptor_;
  Script script_;
  std::vector<std::string> heads_;
  std::set<tcp::socket*> sockets_;  // open ones
  int connections_ = 0;
  int abandoned_ = 0;
  size_t most_repeated_bytes_ = 0;
};

// A gateway that runs in the test process. It listens for callers only, and the
// test sets its configuration and endpoints.
class GatewayHarness {
 public:
  GatewayHarness();

  asio::io_context& io() { return io_; }
  GatewayState& state() { return *state_; }
  FrontServer& front() { return *front_; }
  // Adds an endpoint of the service "pool" or "desk".
  void AddEndpoint(const std::string& id,
                   const std::string& service,
                   const ScriptedEndpoint& endpoint,
                   const std::string& version = "");

  // Sends bytes on a new connection and reads until `complete` returns true for
  // the response, the gateway closes the connection, or 3 s have passed.
  std::string Exchange(const std::string& bytes,
                       const std::function<bool(const std::string&)>& complete);
  // Error code of the last read in the last exchange.
  const boost::system::error_code& last_failure() const {
    return last_failure_;
  }
  // Sends bytes and closes the connection after `close_after`.
  void SendAndDisconnect(const std::string& bytes, Duration close_after);
  void RunFor(Duration time);

 private:
  asio::io_context io_;
  platform::PlatformCodec codec_;
  std::unique_ptr<GatewayState> state_;
  std::unique_ptr<FrontServer> front_;
  boost::system::error_code last_failure_;
};

// A gateway with endpoints that run scripts.
struct ScriptedEndpointsFixture {
  // Starts `count` endpoints of a service that run the same script.
  void Start(const std::string& service,
             int count,
             const ScriptedEndpoint::Script& script);

  GatewayHarness harness;
  std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
};

// One header line.
std::string Field(std::string_view name, const std::string& value);
// A request in the platform's format with the API key "key-1".
std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        const std::string& body = "",
                        const std::string& more_fields = "");
// A response with a Content-Length that echoes `id`.
std::string MakeResponse(const std::string& id,
                         const std::string& body,
                         const std::string& status = "200 OK",
                         const std::string& more_fields = "");
// The response header of an event stream with chunked encoding.
std::string StreamHead(const std::string& id);
// `bytes` as a chunk of a body with chunked encoding.
std::string Chunk(const std::string& bytes);
std::string EventChunk(int id);
inline constexpr char kLastChunk[] = "0\r\n\r\n";

// The service to which MakeRoutes sends requests for a path.
std::string ServiceOf(const std::string& path);
// A complete response of an endpoint of the service.
std::string WholeResponse(const std::string& service, const std::string& id);

bool HasStatus(const std::string& response, const std::string& status);
// Whether a response with a Content-Length or chunked encoding is complete.
bool IsComplete(const std::string& response);

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_GATEWAY_GATEWAY_HARNESS_H_
