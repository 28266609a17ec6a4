#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "gateway/gateway_harness.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using test::Chunk;
using test::EventChunk;
using test::HasStatus;
using test::IsComplete;
using test::kLastChunk;
using test::MakeRequest;
using test::MakeResponse;
using test::StreamHead;
using Reply = test::ScriptedEndpoint::Reply;

// Endpoints may be silent for 100 ms between events, and for 300 ms before the
// first one, until another endpoint is tried.
constexpr Duration kEventGap = milliseconds(40);
constexpr Duration kPause = milliseconds(700);

Reply PauseAfter(const std::string& bytes, const std::string& rest) {
  return {.bytes = bytes, .pause = kPause, .rest = rest};
}

bool IsWhole(const std::string& response) {
  return HasStatus(response, "200") && IsComplete(response);
}

struct SilentEndpointsFixture : test::ScriptedEndpointsFixture {
  SilentEndpointsFixture() {
    RouteTableParts parts = test::MakeRoutes().parts();
    parts.version = 2;
    for (Route& route : parts.routes) {
      if (route.kind == RequestKind::kStreaming)
        route.max_event_gap = kEventGap;
    }
    harness.state().UpdateRoutes(
        RouteTable::Create(std::move(parts)).TakeValue());
  }

  std::string Send(const std::string& path) {
    return harness.Exchange(MakeRequest("POST", path, "id-1", "body"),
                            IsComplete);
  }
  size_t requests_received() const {
    size_t total = 0;
    for (const auto& endpoint : endpoints)
      total += endpoint->heads().size();
    return total;
  }
  void UseUpRetries(const std::string& service) {
    RetryAllowance& retries = harness.state().RetryAllowanceFor(service);
    while (retries.TryTake(1, harness.state().Now())) {
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(a_stream_whose_endpoint_pauses, SilentEndpointsFixture)

// Guards against streams that are reset in the middle: the last attempt that
// the route allows was given up, and nothing could follow.
BOOST_AUTO_TEST_CASE(is_whole_if_its_last_attempt_pauses_too) {
  int seen = 0;
  Start("pool", 3, [&](const std::string&, const std::string& id, int) {
    const int first = seen++ == 0 ? 1 : 2;
    return PauseAfter(StreamHead(id) + EventChunk(first),
                      EventChunk(first + 1) + kLastChunk);
  });
  const std::string response = Send("/chat/");
  BOOST_TEST(IsWhole(response));
  BOOST_TEST(response.find("id: 3\n") != std::string::npos);
  BOOST_TEST(requests_received() == 2u);
}

BOOST_AUTO_TEST_CASE(is_whole_if_there_is_no_other_endpoint) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return PauseAfter(StreamHead(id) + EventChunk(1),
                      EventChunk(2) + kLastChunk);
  });
  BOOST_TEST(IsWhole(Send("/chat/")));
  BOOST_TEST(requests_received() == 1u);
}

BOOST_AUTO_TEST_CASE(is_whole_if_the_retry_limit_is_used_up) {
  Start("pool", 2, [](const std::string&, const std::string& id, int) {
    return PauseAfter(StreamHead(id) + EventChunk(1),
                      EventChunk(2) + kLastChunk);
  });
  UseUpRetries("pool");
  BOOST_TEST(IsWhole(Send("/chat/")));
  BOOST_TEST(requests_received() == 1u);
}

BOOST_AUTO_TEST_CASE(is_whole_if_its_events_have_no_ids) {
  Start("pool", 2, [](const std::string&, const std::string& id, int) {
    return PauseAfter(StreamHead(id) + Chunk("data: a\n\n"),
                      Chunk("data: b\n\n") + kLastChunk);
  });
  BOOST_TEST(IsWhole(Send("/chat/")));
  BOOST_TEST(requests_received() == 1u);
}

BOOST_AUTO_TEST_CASE(is_whole_if_the_pause_is_before_the_first_event) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return PauseAfter(StreamHead(id), EventChunk(1) + kLastChunk);
  });
  BOOST_TEST(IsWhole(Send("/chat/")));
}

BOOST_AUTO_TEST_CASE(is_whole_if_the_pause_is_before_its_head) {
  Start("pool", 1, [](const std::string&, const std::string& id, int) {
    return PauseAfter("", StreamHead(id) + EventChunk(1) + kLastChunk);
  });
  BOOST_TEST(IsWhole(Send("/chat/")));
}

BOOST_AUTO_TEST_CASE(moves_to_another_endpoint_if_there_is_one) {
  int seen = 0;
  Start("pool", 2, [&](const std::string& head, const std::string& id, int) {
    if (seen++ == 0)
      return PauseAfter(StreamHead(id) + EventChunk(1), EventChunk(2));
    BOOST_TEST(head.find("Last-Event-Id: 1") != std::string::npos);
    return Reply{StreamHead(id) + EventChunk(2) + kLastChunk};
  });
  const Timestamp sent_at = harness.state().Now();
  BOOST_TEST(IsWhole(Send("/chat/")));
  BOOST_TEST((harness.state().Now() - sent_at < kPause));
  BOOST_TEST(requests_received() == 2u);
}

BOOST_AUTO_TEST_CASE(moves_to_another_endpoint_that_is_added_later) {
  Start("pool", 1, [&](const std::string&, const std::string& id, int) {
    return PauseAfter(StreamHead(id) + EventChunk(1), EventChunk(2));
  });
  test::ScriptedEndpoint added(
      &harness.io(), [](const std::string&, const std::string& id, int) {
        return Reply{StreamHead(id) + EventChunk(2) + kLastChunk};
      });
  asio::steady_timer timer(harness.io(), milliseconds(200));
  timer.async_wait([&](const boost::system::error_code&) {
    harness.AddEndpoint("pool-1", "pool", added);
  });
  const Timestamp sent_at = harness.state().Now();
  BOOST_TEST(IsWhole(Send("/chat/")));
  BOOST_TEST((harness.state().Now() - sent_at < kPause));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_plain_response_that_comes_late,
                         SilentEndpointsFixture)

BOOST_AUTO_TEST_CASE(is_awaited_by_the_last_attempt) {
  Start("desk", 3, [](const std::string&, const std::string& id, int) {
    return PauseAfter("", MakeResponse(id, "late"));
  });
  BOOST_TEST(HasStatus(Send("/list/"), "200"));
  BOOST_TEST(requests_received() == 2u);
}

BOOST_AUTO_TEST_CASE(is_awaited_if_the_configuration_is_no_longer_confirmed) {
  Start("desk", 2, [&](const std::string&, const std::string& id, int) {
    harness.state().configuration_freshness() =
        ConfigurationFreshness(std::chrono::seconds(5));
    return PauseAfter("", MakeResponse(id, "late"));
  });
  BOOST_TEST(HasStatus(Send("/list/"), "200"));
  BOOST_TEST(requests_received() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
