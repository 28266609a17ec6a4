#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Field;
using test::HasStatus;
using test::IsComplete;
using test::MakeRequest;
using test::MakeResponse;
using Reply = test::ScriptedEndpoint::Reply;

// Larger than the socket buffers of a connection.
constexpr size_t kUploadBytes = 8'000'000;
constexpr Duration kPauses[] = {milliseconds(0), milliseconds(1),
                                milliseconds(20), milliseconds(200)};
constexpr char kEvent[] = "id: 1\ndata: p\n\n";

// Endpoints that respond to an upload without reading it. The first one to get
// a request gives a certain response, the others a whole one.
struct UploadFixture : test::ScriptedEndpointsFixture {
  using Respond = std::function<Reply(const std::string& id)>;

  void StartEndpoints(const std::string& path, const Respond& respond_first) {
    const std::string service = test::ServiceOf(path);
    Start(service, 2,
          [=, this](const std::string&, const std::string& id, int) {
            if (seen++ == 0)
              return respond_first(id);
            return Reply{test::WholeResponse(service, id)};
          });
  }
  std::string Upload(const std::string& path) {
    return harness.Exchange(
        MakeRequest("POST", path, "id-1", std::string(kUploadBytes, 'x')),
        IsComplete);
  }

  int seen = 0;
};

// A 200 that ends with its connection, which is reset after `pause`.
Reply ResetResponse(const std::string& id, Duration pause) {
  Reply reply{"HTTP/1.1 200 OK\r\n" + Field(platform::kRequestId, id) +
              "X-Seal: seal-" + id +
              "\r\nContent-Type: text/event-stream\r\n\r\n" + kEvent};
  reply.pause = pause;
  reply.reads_body = false;
  reply.resets = true;
  return reply;
}

BOOST_AUTO_TEST_SUITE(a_response_to_an_upload_that_is_not_read)

BOOST_AUTO_TEST_SUITE(without_a_length_on_a_connection_that_is_reset)

// Guards against a part of a response that callers got as a complete 200: the
// write of the request took the error of the connection, and the read saw an
// end in good order.
BOOST_AUTO_TEST_CASE(is_an_error_to_a_request_that_may_not_be_repeated) {
  for (const Duration pause : kPauses) {
    UploadFixture fixture;
    fixture.StartEndpoints("/order/", [=](const std::string& id) {
      return ResetResponse(id, pause);
    });
    const std::string response = fixture.Upload("/order/");
    BOOST_TEST(HasStatus(response, "502"), response);
    BOOST_TEST(response.find("seal") == std::string::npos);
    BOOST_TEST(fixture.seen == 1);
  }
}

BOOST_AUTO_TEST_CASE(is_replaced_by_another_endpoints_if_it_may_be_repeated) {
  for (const Duration pause : kPauses) {
    UploadFixture fixture;
    fixture.StartEndpoints("/list/", [=](const std::string& id) {
      return ResetResponse(id, pause);
    });
    const std::string response = fixture.Upload("/list/");
    BOOST_TEST(HasStatus(response, "200"));
    BOOST_TEST(response.ends_with("\r\n\r\ndone"), response);
    BOOST_TEST(fixture.seen == 2);
  }
}

BOOST_AUTO_TEST_CASE(is_continued_by_another_endpoint_if_it_is_a_stream) {
  for (const Duration pause : kPauses) {
    UploadFixture fixture;
    fixture.StartEndpoints("/chat/", [=](const std::string& id) {
      return ResetResponse(id, pause);
    });
    const std::string response = fixture.Upload("/chat/");
    BOOST_TEST(IsComplete(response), response);
    BOOST_TEST(fixture.seen == 2);
  }
}

// The endpoint's process has ended.
BOOST_AUTO_TEST_CASE(is_an_error_if_an_orderly_end_comes_before_the_reset) {
  for (const Duration pause : kPauses) {
    UploadFixture fixture;
    fixture.StartEndpoints("/order/", [=](const std::string& id) {
      Reply reply = ResetResponse(id, pause);
      reply.half_closes = true;
      return reply;
    });
    BOOST_TEST(HasStatus(fixture.Upload("/order/"), "502"));
  }
}

// A caller of HTTP/1.0 takes an orderly end of its connection for that of the
// stream.
BOOST_AUTO_TEST_CASE(resets_the_caller_if_no_other_endpoint_continues_it) {
  for (const char* version : {"HTTP/1.0", "HTTP/1.1"}) {
    UploadFixture fixture;
    fixture.Start("pool", 1,
                  [](const std::string&, const std::string& id, int) {
                    return ResetResponse(id, milliseconds(20));
                  });
    std::string request =
        MakeRequest("POST", "/chat/", "id-1", std::string(kUploadBytes, 'x'),
                    "Connection: close\r\n");
    request.replace(request.find("HTTP/1.1"), 8, version);
    const std::string response = fixture.harness.Exchange(
        request, [](const std::string&) { return false; });
    BOOST_TEST(response.find(kEvent) != std::string::npos);
    BOOST_TEST(!IsComplete(response), response);
    BOOST_TEST(fixture.harness.last_failure() == asio::error::connection_reset);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_whole)

BOOST_AUTO_TEST_CASE(is_passed_on_although_its_connection_is_reset) {
  for (const char* path : {"/order/", "/list/", "/chat/"}) {
    for (const char* status : {"413 Too Large", "401 Unauthorized", "200 OK"}) {
      UploadFixture fixture;
      fixture.StartEndpoints(path, [=](const std::string& id) {
        Reply reply{MakeResponse(id, kEvent, status, "Connection: close\r\n")};
        reply.reads_body = false;
        reply.resets = true;
        return reply;
      });
      const std::string response = fixture.Upload(path);
      BOOST_TEST(HasStatus(response, std::string(status).substr(0, 3)));
      BOOST_TEST(response.find("seal-id-1") != std::string::npos);
      BOOST_TEST(response.find(kEvent) != std::string::npos);
      BOOST_TEST(fixture.seen == 1);
    }
  }
}

// The endpoint ends its side of the connection and reads the rest of the
// upload.
BOOST_AUTO_TEST_CASE(is_passed_on_if_it_ends_with_its_side_of_the_connection) {
  for (const char* path : {"/order/", "/list/", "/chat/"}) {
    UploadFixture fixture;
    fixture.StartEndpoints(path, [](const std::string& id) {
      Reply reply = ResetResponse(id, milliseconds(0));
      reply.resets = false;
      reply.half_closes = true;
      return reply;
    });
    const std::string response = fixture.Upload(path);
    BOOST_TEST(HasStatus(response, "200"));
    BOOST_TEST(response.find(kEvent) != std::string::npos, response);
    BOOST_TEST(fixture.seen == 1);
  }
}

BOOST_AUTO_TEST_CASE(is_passed_on_soon_although_the_upload_is_never_read) {
  UploadFixture fixture;
  fixture.StartEndpoints("/order/", [](const std::string& id) {
    Reply reply = ResetResponse(id, milliseconds(0));
    reply.resets = false;
    reply.half_closes = true;
    reply.stops_reading = true;
    return reply;
  });
  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST(HasStatus(fixture.Upload("/order/"), "200"));
  BOOST_TEST((std::chrono::steady_clock::now() - start < seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
