#include "teaselthread/http_connection.h"

#include <netinet/tcp.h>

#include <boost/test/unit_test.hpp>
#include <list>

#include "gateway/gateway_harness.h"
#include "teaselthread/keep_alive.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A server that never responds on its first connection.
class SilentFirstServer {
 public:
  explicit SilentFirstServer(asio::io_context* io)
      : acceptor_(*io, {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(*io, Run(), asio::detached);
  }

  SocketAddress address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  int connections() const { return connections_; }

 private:
  asio::awaitable<void> Run() {
    tcp::socket silent = co_await acceptor_.async_accept(asio::use_awaitable);
    ++connections_;
    tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
    ++connections_;
    co_await asio::async_write(socket, asio::buffer(kResponse), kAsTuple);
    // Both stay open until the test ends.
    asio::steady_timer never(socket.get_executor(), seconds(60));
    co_await never.async_wait(kAsTuple);
  }

  tcp::acceptor acceptor_;
  int connections_ = 0;
};

struct ConnectionFixture {
  ConnectionFixture() : server(&io), connection(server.address()) {}

  // Runs until the call has ended.
  Result<HttpReply> Get(Duration reconnect_after, Duration timeout) {
    std::optional<Result<HttpReply>> reply;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          reply = co_await connection.Get("/watch", timeout);
          io.stop();
        },
        asio::detached);
    asio::steady_timer timer(io, reconnect_after);
    timer.async_wait([&](const boost::system::error_code& failure) {
      if (!failure)
        connection.Reconnect();
    });
    io.run();
    return *reply;
  }

  asio::io_context io;
  SilentFirstServer server;
  HttpConnection connection;
};

BOOST_FIXTURE_TEST_SUITE(a_call_on_a_connection, ConnectionFixture)

BOOST_AUTO_TEST_CASE(
    that_is_replaced_ends_at_once_and_the_next_uses_a_new_one) {
  const Result<HttpReply> superseded = Get(milliseconds(50), seconds(20));
  BOOST_REQUIRE(!superseded.has_value());
  BOOST_TEST((superseded.last_reason().code == ErrorCode::kSuperseded));
  io.restart();
  const Result<HttpReply> reply = Get(seconds(20), seconds(20));
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST(reply->status == 200);
  BOOST_TEST(server.connections() == 2);
}

BOOST_AUTO_TEST_CASE(that_is_kept_ends_at_its_timeout) {
  const Result<HttpReply> reply = Get(seconds(20), milliseconds(50));
  BOOST_REQUIRE(!reply.has_value());
  BOOST_TEST((reply.last_reason().code == ErrorCode::kTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against two calls that share a socket, of which one may destroy it
// while the other waits for its response: a gateway that was told to leave
// while it registered in the store.
BOOST_AUTO_TEST_CASE(calls_that_overlap_are_made_one_after_another) {
  asio::io_context io;
  test::ScriptedEndpoint server(
      &io, [](const std::string&, const std::string& id, int number) {
        const std::string response =
            test::MakeResponse(id, "body " + std::to_string(number));
        return test::ScriptedEndpoint::Reply{.bytes = response.substr(0, 20),
                                             .pause = milliseconds(30),
                                             .rest = response.substr(20)};
      });
  HttpConnection connection(server.address());
  std::vector<std::string> bodies;
  for (int call = 0; call < 3; ++call) {
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          const Result<HttpReply> reply =
              co_await connection.Get("/list", seconds(1));
          bodies.push_back(reply ? reply->body : "none");
        },
        asio::detached);
  }
  io.run_for(milliseconds(400));
  const std::vector<std::string> expected = {"body 0", "body 1", "body 2"};
  BOOST_TEST(bodies == expected, boost::test_tools::per_element());
  BOOST_TEST(server.connections() == 1);
}

// A server with a full listen backlog: further connection attempts get no reply
// at all.
class FullBacklogServer {
 public:
  explicit FullBacklogServer(asio::io_context* io) : acceptor_(*io) {
    acceptor_.open(tcp::v4());
    acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen(0);
    for (int i = 0; i < kQueuedConnections; ++i) {
      queued_connections_.emplace_back(*io);
      queued_connections_.back().async_connect(
          acceptor_.local_endpoint(), [](const boost::system::error_code&) {});
    }
  }
  SocketAddress address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  static constexpr int kQueuedConnections = 4;

  tcp::acceptor acceptor_;
  std::list<tcp::socket> queued_connections_;
};

BOOST_AUTO_TEST_SUITE(a_long_poll)

int TcpOptionOf(tcp::socket& socket, int name) {
  int value = 0;
  socklen_t size = sizeof(value);
  ::getsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, &size);
  return value;
}

// Guards against connections that go silent without being closed. When half of
// all connections did so, a gateway learned of leaving endpoints only when its
// watch timed out.
BOOST_AUTO_TEST_CASE(enables_tcp_keepalive_on_its_connection) {
  asio::io_context io;
  tcp::socket socket(io, tcp::v4());
  EnableKeepAlive(socket);
  asio::socket_base::keep_alive keep_alive;
  socket.get_option(keep_alive);
  BOOST_TEST(keep_alive.value());
  const std::chrono::seconds detection_time(
      TcpOptionOf(socket, TCP_KEEPIDLE) +
      TcpOptionOf(socket, TCP_KEEPINTVL) * TcpOptionOf(socket, TCP_KEEPCNT));
  BOOST_TEST((detection_time <= kKeepAliveTimeout));
  const milliseconds user_timeout(TcpOptionOf(socket, TCP_USER_TIMEOUT));
  BOOST_TEST((user_timeout > milliseconds::zero()));
  BOOST_TEST((user_timeout <= kKeepAliveTimeout));
}

// Guards against connection attempts that use up the timeout of the watch.
// Gateways that were cut off from the store noticed it only after the time that
// their watch would have waited.
BOOST_AUTO_TEST_CASE(fails_soon_if_it_cannot_connect) {
  asio::io_context io;
  FullBacklogServer server(&io);
  io.run_for(milliseconds(50));
  HttpConnection connection(server.address());
  std::optional<Result<HttpReply>> reply;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        reply = co_await connection.Get("/watch", seconds(9));
        io.stop();
      },
      asio::detached);
  io.restart();
  io.run_for(seconds(2));
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->last_reason().code == ErrorCode::kUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
