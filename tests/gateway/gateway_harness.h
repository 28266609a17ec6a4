#ifndef TEASELTHREAD_TESTS_GATEWAY_GATEWAY_HARNESS_H_
#define TEASELTHREAD_TESTS_GATEWAY_GATEWAY_HARNESS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/platform_codec.h"
#include "teaselthread/gateway/front_server.h"

namespace teaselthread::test {

// Settings with all addresses on one port of 127.0.0.1.
GatewaySettings MakeSettings(uint16_t port);

// An endpoint that answers with the bytes that a script gives for each request,
// and keeps what it has read.
class ScriptedEndpoint {
 public:
  struct Reply {
    std::string bytes;
    bool closes = false;  // after the bytes, in an orderly way
    bool resets = false;  // after the bytes
    bool reads_body = true;
  };
  // Gets the request's head, its id and its number, from 0.
  using Script = std::function<
      Reply(const std::string& head, const std::string& id, int number)>;

  ScriptedEndpoint(asio::io_context* io, Script script);

  SocketAddress address() const;
  const std::vector<std::string>& heads() const { return heads_; }
  int connections() const { return connections_; }
  // Connections that the gateway has closed while an answer was due.
  int abandoned() const { return abandoned_; }

 private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(tcp::socket socket);

  tcp::acceptor acceptor_;
  Script script_;
  std::vector<std::string> heads_;
  int connections_ = 0;
  int abandoned_ = 0;
};

// A gateway in the test's own process: its callers' port, with configuration
// and endpoints set by the test.
class GatewayHarness {
 public:
  GatewayHarness();

  asio::io_context& io() { return io_; }
  GatewayState& state() { return *state_; }
  FrontServer& front() { return *front_; }
  // Adds an endpoint of "pool" or "desk".
  void AddEndpoint(const std::string& id,
                   const std::string& service,
                   const ScriptedEndpoint& endpoint);

  // Sends bytes on a new connection, and reads until `complete` says that the
  // answer is whole, the gateway closes, or 3 s have passed.
  std::string Exchange(const std::string& bytes,
                       const std::function<bool(const std::string&)>& complete);
  // How reading ended in the last exchange.
  const boost::system::error_code& last_failure() const {
    return last_failure_;
  }
  // Sends bytes and closes the connection after `stay`.
  void SendAndLeave(const std::string& bytes, Duration stay);
  void RunFor(Duration time);

 private:
  asio::io_context io_;
  platform::PlatformCodec codec_;
  std::unique_ptr<GatewayState> state_;
  std::unique_ptr<FrontServer> front_;
  boost::system::error_code last_failure_;
};

// One line of a head.
std::string Field(std::string_view name, const std::string& value);
// A request of the platform's form with the key "key-1".
std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        const std::string& body = "",
                        const std::string& more_fields = "");
// An answer with a length, that echoes `id`.
std::string MakeAnswer(const std::string& id,
                       const std::string& body,
                       const std::string& status = "200 OK",
                       const std::string& more_fields = "");
// The head of an event stream in chunks.
std::string StreamHead(const std::string& id);
std::string EventChunk(int id);
inline constexpr char kLastChunk[] = "0\r\n\r\n";

// Whether an answer with a length, or in chunks, is whole.
bool IsWhole(const std::string& answer);

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_GATEWAY_GATEWAY_HARNESS_H_
