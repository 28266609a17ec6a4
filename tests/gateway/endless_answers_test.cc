#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

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
using test::ScriptedEndpoint;
using test::StreamHead;
using Reply = ScriptedEndpoint::Reply;

constexpr milliseconds kDeadline(600);
// Time to write a response after the deadline, on a busy machine.
constexpr milliseconds kDeadlineTolerance(900);
constexpr milliseconds kEventGap(100);

// Sends `bytes`, and then `repeated` until the connection is closed.
Reply Endless(const std::string& bytes,
              const std::string& repeated,
              Duration pause = Duration::zero()) {
  Reply reply;
  reply.bytes = bytes;
  reply.repeated = repeated;
  reply.pause = pause;
  return reply;
}

// Endpoints whose responses never end, behind a gateway with a short deadline.
struct EndlessFixture : test::ScriptedEndpointsFixture {
  void SetEventGap(Duration gap) {
    RouteTableParts parts = test::MakeRoutes().parts();
    parts.version = 2;
    for (Route& route : parts.routes)
      route.max_event_gap = gap;
    harness.state().UpdateRoutes(
        RouteTable::Create(std::move(parts)).TakeValue());
  }
  std::string Send(const std::string& path, Duration deadline = kDeadline) {
    const auto start = std::chrono::steady_clock::now();
    const std::string time = std::to_string(
        std::chrono::duration_cast<milliseconds>(deadline).count());
    std::string response =
        harness.Exchange(MakeRequest("POST", path, "id-1", "body",
                                     Field(platform::kDeadline, time)),
                         IsComplete);
    elapsed = std::chrono::steady_clock::now() - start;
    return response;
  }
  bool EndedInTime() const { return elapsed <= kDeadline + kDeadlineTolerance; }
  int abandoned() const {
    int total = 0;
    for (const auto& endpoint : endpoints)
      total += endpoint->abandoned();
    return total;
  }
  // Whether the gateway has closed all connections and works on nothing.
  bool IsIdle() {
    harness.RunFor(milliseconds(50));
    return harness.state().requests_in_progress == 0 &&
           abandoned() == connections();
  }
  int connections() const {
    int total = 0;
    for (const auto& endpoint : endpoints)
      total += endpoint->connections();
    return total;
  }

  std::chrono::steady_clock::duration elapsed{};
};

BOOST_FIXTURE_TEST_SUITE(an_endless_head, EndlessFixture)

BOOST_AUTO_TEST_CASE(of_informational_responses_ends_the_attempt) {
  Start("desk", 1, [](const std::string&, const std::string&, int) {
    return Endless("", "HTTP/1.1 102 Processing\r\n\r\n");
  });
  BOOST_TEST(HasStatus(Send("/order/", seconds(2)), "502"));
  BOOST_TEST((elapsed < milliseconds(1'000)));
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(of_one_line_ends_the_attempt) {
  Start("desk", 1, [](const std::string&, const std::string&, int) {
    return Endless("HTTP/1.1 200 OK\r\nX-Filler: ", std::string(1'000, 'x'));
  });
  BOOST_TEST(HasStatus(Send("/order/", seconds(2)), "502"));
  BOOST_TEST((elapsed < milliseconds(1'000)));
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(of_one_line_that_arrives_slowly_ends_at_the_deadline) {
  Start("desk", 1, [](const std::string&, const std::string&, int) {
    return Endless("HTTP/1.1 200 OK\r\nX-Filler: ", "x", milliseconds(1));
  });
  BOOST_TEST(HasStatus(Send("/order/"), "504"));
  BOOST_TEST(EndedInTime());
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(of_white_space_ends_the_attempt) {
  Start("desk", 1, [](const std::string&, const std::string&, int) {
    return Endless("", "\r\n");
  });
  BOOST_TEST(HasStatus(Send("/order/", seconds(2)), "502"));
  BOOST_TEST((elapsed < milliseconds(1'000)));
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(of_unrelated_responses_ends_the_attempt) {
  Start("desk", 1, [](const std::string&, const std::string&, int) {
    return Endless("", MakeResponse("id-other", "not yours"));
  });
  BOOST_TEST(HasStatus(Send("/order/", seconds(2)), "502"));
  BOOST_TEST((elapsed < milliseconds(1'000)));
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_endless_body, EndlessFixture)

BOOST_AUTO_TEST_CASE(is_not_kept_beyond_its_bound) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return Endless(
        "HTTP/1.1 200 OK\r\n" + Field(platform::kRequestId, id) + "\r\n",
        std::string(64'000, 'x'));
  });
  BOOST_TEST(HasStatus(Send("/order/", seconds(2)), "502"));
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(that_arrives_slowly_ends_at_the_deadline) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return Endless(
        "HTTP/1.1 200 OK\r\n" + Field(platform::kRequestId, id) + "\r\n", "x",
        milliseconds(1));
  });
  BOOST_TEST(HasStatus(Send("/order/"), "504"));
  BOOST_TEST(EndedInTime());
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(of_an_unrelated_response_is_not_read_to_its_bound) {
  Start("desk", 1, [](const std::string&, const std::string&, int) {
    return Endless("HTTP/1.1 200 OK\r\n" +
                       Field(platform::kRequestId, "id-other") + "\r\n",
                   std::string(64'000, 'x'));
  });
  BOOST_TEST(HasStatus(Send("/order/", seconds(2)), "502"));
  BOOST_TEST((elapsed < milliseconds(1'000)));
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(of_chunk_extensions_ends_the_attempt) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return Endless(StreamHead(id) + "5;", std::string(1'000, 'x'));
  });
  BOOST_TEST(HasStatus(Send("/order/", seconds(2)), "502"));
  BOOST_TEST((elapsed < milliseconds(1'000)));
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(of_trailers_ends_the_attempt) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return Endless(StreamHead(id) + "4\r\nbody\r\n0\r\n", "X-Trailer: x\r\n");
  });
  BOOST_TEST(HasStatus(Send("/order/", seconds(2)), "502"));
  BOOST_TEST((elapsed < milliseconds(1'000)));
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_endless_stream, EndlessFixture)

BOOST_AUTO_TEST_CASE(in_which_no_event_ends_does_not_occupy_the_gateway) {
  Start("pool", 2, [](const std::string&, const std::string& id, int) {
    return Endless(StreamHead(id), Chunk(std::string(4'000, 'x')));
  });
  BOOST_TEST(HasStatus(Send("/chat/", seconds(2)), "502"));
  BOOST_TEST((elapsed < milliseconds(1'500)));
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(of_comments_does_not_occupy_the_gateway) {
  Start("pool", 2, [](const std::string&, const std::string& id, int) {
    return Endless(StreamHead(id), Chunk(": ping\n\n"));
  });
  // 502 if the limit on bytes without an event is reached first, and 504 if the
  // limit on the time without one is.
  const std::string response = Send("/chat/", seconds(2));
  BOOST_TEST((HasStatus(response, "502") || HasStatus(response, "504")));
  BOOST_TEST((elapsed < milliseconds(1'500)));
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(of_events_ends_at_the_deadline) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return Endless(StreamHead(id), Chunk("data: x\n\n"));
  });
  const std::string response = Send("/chat/");
  BOOST_TEST(EndedInTime());
  BOOST_TEST(response.find("data: x\n\n") != std::string::npos);
  BOOST_TEST(!IsComplete(response));
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(is_cancelled_when_its_caller_disconnects) {
  for (const char* repeated : {"data: x\n\n", "data: x", ": x\n\n"}) {
    Start("pool", 1, [=](const std::string&, const std::string& id, int) {
      return Endless(StreamHead(id), Chunk(repeated));
    });
  }
  for (int i = 0; i < 6; ++i) {
    harness.SendAndDisconnect(
        MakeRequest("POST", "/chat/", "id-" + std::to_string(i), "body"),
        milliseconds(20));
  }
  BOOST_TEST(IsIdle());
}

BOOST_AUTO_TEST_CASE(leaves_the_gateway_to_other_callers) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return Endless(StreamHead(id), Chunk("data: x\n\n"));
  });
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return Reply{MakeResponse(id, "done")};
  });
  tcp::socket reader(harness.io());
  const SocketAddress& address = harness.state().settings().front_listen();
  reader.connect({asio::ip::make_address(address.host), address.port});
  asio::write(reader,
              asio::buffer(MakeRequest("POST", "/chat/", "id-0", "body")));
  harness.RunFor(milliseconds(100));
  BOOST_TEST(HasStatus(Send("/order/"), "200"));
  BOOST_TEST((elapsed < milliseconds(300)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_slow_stream, EndlessFixture)

BOOST_AUTO_TEST_CASE(that_stalls_inside_an_event_is_resumed_elsewhere) {
  SetEventGap(kEventGap);
  int seen = 0;
  Start("pool", 2, [&](const std::string& head, const std::string& id, int) {
    if (seen++ == 0) {
      return Endless(StreamHead(id) + EventChunk(1), Chunk("x"),
                     milliseconds(20));
    }
    BOOST_TEST(head.find("Last-Event-Id: 1") != std::string::npos);
    return Reply{StreamHead(id) + EventChunk(2) + kLastChunk};
  });
  const std::string response = Send("/chat/", seconds(2));
  BOOST_TEST(IsComplete(response));
  BOOST_TEST(response.find("id: 2\n") != std::string::npos);
  BOOST_TEST(response.find("xx") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(that_only_sends_comments_is_resumed_elsewhere) {
  SetEventGap(kEventGap);
  int seen = 0;
  Start("pool", 2, [&](const std::string&, const std::string& id, int) {
    if (seen++ == 0) {
      return Endless(StreamHead(id) + EventChunk(1), Chunk(": ping\n\n"),
                     milliseconds(20));
    }
    return Reply{StreamHead(id) + EventChunk(2) + kLastChunk};
  });
  const std::string response = Send("/chat/", seconds(2));
  BOOST_TEST(IsComplete(response));
  BOOST_TEST(response.find(": ping\n\n") != std::string::npos);
  BOOST_TEST(response.find("id: 2\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(whose_events_arrive_in_small_pieces_is_not_cut) {
  SetEventGap(kEventGap);
  // One event every 90 ms.
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return Endless(StreamHead(id) + EventChunk(1),
                   Chunk("da") + Chunk("ta") + Chunk(": x\n") + Chunk("\n"),
                   milliseconds(90));
  });
  const std::string response = Send("/chat/", seconds(1));
  BOOST_TEST((elapsed >= milliseconds(900)));
  BOOST_TEST(response.find("data: x\n\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
