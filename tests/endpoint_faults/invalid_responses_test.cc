#include <boost/test/unit_test.hpp>

#include "endpoint_faults/node_call.h"
#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"
#include "teaselthread/http_connection.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Chunk;
using test::EventChunk;
using test::Field;
using test::HasStatus;
using test::IsComplete;
using test::kLastChunk;
using test::MakeRequest;
using test::MakeResponse;
using test::StreamHead;
using Reply = test::ScriptedEndpoint::Reply;

constexpr Duration kCallTimeout = seconds(2);
constexpr char kEvent[] = "id: 1\ndata: p\n\n";
const std::string kId = "id-1";
const std::string kIdFields =
    Field(platform::kRequestId, kId) + Field("X-Seal", "seal-" + kId);
// Bytes in a body that would be a valid response on their own.
const std::string kOther = MakeResponse(kId, "other");

std::string Response(const std::string& start_line,
                     const std::string& fields,
                     const std::string& body = kEvent) {
  return start_line + "\r\n" + kIdFields +
         "Content-Type: text/event-stream\r\n" + fields + "\r\n" + body;
}

std::string WithStatus(const std::string& status,
                       const std::string& body = kEvent) {
  return Response("HTTP/1.1 " + status + " Status",
                  "Content-Length: " + std::to_string(body.size()) + "\r\n",
                  body);
}

std::string WithFields(const std::string& fields,
                       const std::string& body = kEvent) {
  return Response("HTTP/1.1 200 OK", fields, body);
}

std::string WithLine(const std::string& line) {
  return WithFields("Content-Length: " + std::to_string(sizeof(kEvent) - 1) +
                    "\r\n" + line + "\r\n");
}

// Endpoints that all send the same bytes and close the connection, after
// `whole_responses` valid responses.
void CheckCallerGetsAnError(const std::string& path,
                            const std::string& bytes,
                            int whole_responses,
                            const std::string& method = "POST") {
  test::ScriptedEndpointsFixture fixture;
  int seen = 0;
  const std::string service = test::ServiceOf(path);
  fixture.Start(service, 2,
                [&](const std::string&, const std::string& id, int) {
                  return seen++ < whole_responses
                             ? Reply{test::WholeResponse(service, id)}
                             : Reply{bytes, true};
                });
  for (int i = 0; i < whole_responses; ++i) {
    const std::string before = "id-before-" + std::to_string(i);
    fixture.harness.Exchange(MakeRequest("POST", path, before, "body"),
                             IsComplete);
  }
  const std::string response = fixture.harness.Exchange(
      MakeRequest(method, path, kId, "body"), [](const std::string& received) {
        return received.find("\r\n\r\n") != std::string::npos;
      });
  BOOST_TEST(HasStatus(response, "502"), response);
  BOOST_TEST(response.find("seal") == std::string::npos);
  const int most_runs = path == "/order/" ? 1 : 2;
  BOOST_TEST(seen - whole_responses <= most_runs);
}

// Runs a call of another client than a gateway against a server that sends the
// bytes and closes the connection.
template <typename Call>
void RunCall(const std::string& bytes, const Call& call) {
  asio::io_context io;
  test::ScriptedEndpoint server(
      &io, [&](const std::string&, const std::string&, int) {
        return Reply{bytes, true};
      });
  bool ended = false;
  asio::co_spawn(io, call(server.address()), [&](const std::exception_ptr&) {
    ended = true;
    io.stop();
  });
  io.run_for(kCallTimeout);
  BOOST_TEST(ended);
}

void CheckOtherClientsGetAnError(const std::string& bytes) {
  RunCall(bytes, [](SocketAddress address) -> asio::awaitable<void> {
    std::string no_body;
    const Result<HttpReply> reply = co_await HttpCall(
        address, http::verb::get, "/health", std::move(no_body), kCallTimeout);
    BOOST_TEST(!reply.has_value());
  });
  RunCall(bytes, [](SocketAddress address) -> asio::awaitable<void> {
    EndpointConnectionPool pool;
    const auto body = co_await test::CallEndpoint(address, &pool, kCallTimeout);
    BOOST_TEST(!body.has_value());
  });
}

// Checks each reader of responses: gateways on new and kept connections, the
// client for the store and for nodes, and the endpoint calls of a node.
void CheckIsAnErrorToEachReader(const std::vector<std::string>& responses) {
  for (const std::string& bytes : responses) {
    BOOST_TEST_CONTEXT(bytes) {
      for (const std::string path : {"/order/", "/list/", "/chat/"}) {
        CheckCallerGetsAnError(path, bytes, 0);
        CheckCallerGetsAnError(path, bytes, 2);
      }
      CheckOtherClientsGetAnError(bytes);
    }
  }
}

BOOST_AUTO_TEST_SUITE(a_response_is_an_error)

BOOST_AUTO_TEST_SUITE(because_of_its_status)

// Guards against the status 000, which was taken for that of an informational
// response: what followed the head was read as the next response.
BOOST_AUTO_TEST_CASE(if_it_is_below_the_informational_ones) {
  CheckIsAnErrorToEachReader({WithStatus("000"), WithStatus("000", kOther),
                              WithStatus("001", kOther),
                              WithStatus("099", kOther)});
}

BOOST_AUTO_TEST_CASE(if_it_is_above_those_of_errors) {
  CheckIsAnErrorToEachReader({WithStatus("600"), WithStatus("999")});
}

// No request asks for another protocol.
BOOST_AUTO_TEST_CASE(if_it_switches_protocols) {
  CheckIsAnErrorToEachReader(
      {"HTTP/1.1 101 Switching Protocols\r\n" + kIdFields + "\r\n" + kOther,
       "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
       "Upgrade: other\r\n\r\n" +
           kOther});
}

BOOST_AUTO_TEST_CASE(if_it_is_informational_and_a_body_follows) {
  CheckIsAnErrorToEachReader(
      {WithStatus("100", kOther), WithStatus("103", kOther),
       Response("HTTP/1.1 102 Processing", "Transfer-Encoding: chunked\r\n",
                kOther)});
}

BOOST_AUTO_TEST_CASE(also_if_it_has_no_body_since_the_request_is_head) {
  for (const char* status : {"000", "099", "101", "600"})
    CheckCallerGetsAnError("/list/", WithStatus(status), 0, "HEAD");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(because_of_a_field)

// Guards against a line that callers got as a part of the field before it.
BOOST_AUTO_TEST_CASE(that_begins_with_white_space) {
  CheckIsAnErrorToEachReader(
      {WithLine(" X-Name: value"), WithLine("\tX-Name: value"),
       WithLine("X-Name: value\r\n folded"), WithLine("X-Name:\r\n\tfolded"),
       WithLine("X-Name: value\r\n "),
       WithFields("Content-Length:\r\n 15\r\n")});
}

BOOST_AUTO_TEST_CASE(whose_name_is_no_token) {
  std::vector<std::string> responses = {WithLine("X-Name"), WithLine(": value"),
                                        WithLine("X-Name : value"),
                                        WithLine("X-Name\t: value")};
  for (const char c : std::string(" \t\x01\x0b\x7f\xa0\r\n\"()[]{}") + '\0') {
    responses.push_back(WithLine(std::string("X") + c + "Name: value"));
  }
  responses.push_back(Response("HTTP/1.1 200 OK\r\n X-Name: value", ""));
  CheckIsAnErrorToEachReader(responses);
}

BOOST_AUTO_TEST_CASE(whose_value_has_a_control_byte) {
  std::vector<std::string> responses;
  for (const char c : std::string("\x01\x0b\x7f\r\n") + '\0')
    responses.push_back(WithLine(std::string("X-Name: a") + c + "b"));
  CheckIsAnErrorToEachReader(responses);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(because_of_its_framing)

// Guards against a body that still has the framing of its chunks.
BOOST_AUTO_TEST_CASE(if_the_transfer_coding_is_not_chunked) {
  const std::string body = Chunk(kEvent) + kLastChunk;
  std::vector<std::string> responses;
  for (const char* coding : {"xchunked", "chunked, gzip", "gzip, chunked",
                             "gzip", "chunked, chunked", ""})
    responses.push_back(WithFields(Field("Transfer-Encoding", coding), body));
  responses.push_back(WithFields(
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", body));
  CheckIsAnErrorToEachReader(responses);
}

BOOST_AUTO_TEST_CASE(if_the_length_is_ambiguous_or_no_number) {
  std::vector<std::string> responses;
  for (const char* length :
       {"-15", "+15", "0xf", "15 15", "15, 16", "99999999999999999999", ""})
    responses.push_back(WithFields(Field("Content-Length", length)));
  responses.push_back(
      WithFields("Content-Length: 15\r\nContent-Length: 16\r\n"));
  responses.push_back(
      WithFields("Content-Length: 15\r\nTransfer-Encoding: chunked\r\n",
                 Chunk(kEvent) + kLastChunk));
  CheckIsAnErrorToEachReader(responses);
}

BOOST_AUTO_TEST_CASE(if_the_start_line_is_not_of_http_1) {
  std::vector<std::string> responses;
  for (const char* start :
       {"HTTP/2.0 200 OK", "HTTP/1.7 200 OK", "ICY 200 OK", "HTTP/1.1  200 OK",
        "http/1.1 200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
        " HTTP/1.1 200 OK", "HTTP/1.1 2x0 OK"})
    responses.push_back(Response(start, "Content-Length: 15\r\n"));
  CheckIsAnErrorToEachReader(responses);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_trailer)

// Guards against fields that callers got in the head although the endpoint sent
// them after the body.
BOOST_AUTO_TEST_CASE(does_not_reach_the_caller) {
  for (const char* path : {"/list/", "/chat/"}) {
    for (const char* trailer :
         {"Content-Encoding: gzip\r\n", "X-Seal: other\r\n",
          "X-Name: value\r\n folded\r\n"}) {
      test::ScriptedEndpointsFixture fixture;
      fixture.Start(test::ServiceOf(path), 1,
                    [&](const std::string&, const std::string& id, int) {
                      return Reply{StreamHead(id) + EventChunk(1) + "0\r\n" +
                                   trailer + "\r\n"};
                    });
      const std::string response = fixture.harness.Exchange(
          MakeRequest("POST", path, kId, "body"), IsComplete);
      BOOST_TEST(HasStatus(response, "200"));
      BOOST_TEST(IsComplete(response));
      BOOST_TEST(response.find("X-Seal: seal-" + kId) != std::string::npos);
      for (const char* part : {"gzip", "other", "folded"})
        BOOST_TEST(response.find(part) == std::string::npos, response);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

// Makes two calls with another client than a gateway against a server that
// sends a second response to the first one, `pause` after the first response.
template <typename Client, typename Call>
std::vector<std::string> MakeTwoCalls(Duration pause, const Call& call) {
  asio::io_context io;
  test::ScriptedEndpoint server(
      &io, [&](const std::string&, const std::string&, int number) {
        Reply reply{MakeResponse("", "body " + std::to_string(number))};
        if (number == 0)
          reply.rest = MakeResponse("", "not asked for");
        if (pause == Duration::zero())
          reply.bytes += std::exchange(reply.rest, "");
        reply.pause = pause;
        return reply;
      });
  std::vector<std::string> bodies;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        Client client(server.address());
        bodies.push_back(co_await call(client));
        asio::steady_timer timer(io, 2 * pause);
        co_await timer.async_wait(kAsTuple);
        bodies.push_back(co_await call(client));
        io.stop();
      },
      asio::detached);
  io.run_for(kCallTimeout);
  return bodies;
}

// The endpoint calls of a node.
struct NodeClient {
  explicit NodeClient(SocketAddress address) : address(std::move(address)) {}

  SocketAddress address;
  EndpointConnectionPool pool;
};

BOOST_AUTO_TEST_SUITE(a_second_response_to_a_call)

// Guards against a response that the next call on the connection got as its
// own.
BOOST_AUTO_TEST_CASE(is_not_taken_for_that_to_the_next_one) {
  const std::vector<std::string> expected = {"body 0", "body 1"};
  for (const Duration pause : {milliseconds(0), milliseconds(20)}) {
    const auto of_connection = MakeTwoCalls<HttpConnection>(
        pause, [](HttpConnection& client) -> asio::awaitable<std::string> {
          const Result<HttpReply> reply =
              co_await client.Get("/list", kCallTimeout);
          co_return reply ? reply->body : "none";
        });
    BOOST_TEST(of_connection == expected, boost::test_tools::per_element());
    const auto of_node = MakeTwoCalls<NodeClient>(
        pause, [](NodeClient& client) -> asio::awaitable<std::string> {
          const auto body = co_await test::CallEndpoint(
              client.address, &client.pool, kCallTimeout);
          co_return body.value_or("none");
        });
    BOOST_TEST(of_node == expected, boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
