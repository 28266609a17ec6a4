#include <boost/test/unit_test.hpp>

#include "gateway/gateway_harness.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
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

constexpr Duration kSettleTime = milliseconds(20);
constexpr char kEvent[] = "id: 1\ndata: piece\n\n";
constexpr char kComment[] = ": still reading\n\n";

// The head of an event stream that ends with its connection.
std::string UnframedHead(const std::string& id,
                         const std::string& version = "HTTP/1.1") {
  return version + " 200 OK\r\n" + Field(platform::kRequestId, id) +
         "X-Seal: seal-" + id + "\r\nContent-Type: text/event-stream\r\n\r\n";
}

// Engines of which the first to get a request gives a certain response, and
// the others a whole stream.
struct EmptyStreamFixture : test::ScriptedEndpointsFixture {
  using Respond = std::function<Reply(const std::string& id)>;

  void StartEngines(const Respond& respond_first, int count = 2) {
    Start(
        "pool", count,
        [this, respond_first](const std::string&, const std::string& id, int) {
          return seen++ == 0
                     ? respond_first(id)
                     : Reply{StreamHead(id) + EventChunk(1) + kLastChunk};
        });
  }
  std::string Send(const std::string& method = "POST",
                   const std::string& more_fields = "") {
    return harness.Exchange(
        MakeRequest(method, "/chat/", "id-1", "body", more_fields), IsComplete);
  }
  // What the caller gets until the gateway closes the connection.
  std::string SendAndReadAll() {
    return harness.Exchange(MakeRequest("POST", "/chat/", "id-1", "body"),
                            [](const std::string&) { return false; });
  }

  int seen = 0;
};

BOOST_FIXTURE_TEST_SUITE(a_stream_that_ends_with_its_connection,
                         EmptyStreamFixture)

BOOST_AUTO_TEST_SUITE(before_its_first_event)

// Guards against a 200 with a complete body and no event: an engine's process
// was killed after the head, and the kernel closed its connection.
BOOST_AUTO_TEST_CASE(begins_at_another_engine) {
  for (const char* version : {"HTTP/1.1", "HTTP/1.0"}) {
    for (const char* body : {"", kComment, "\n\n"}) {
      EmptyStreamFixture fixture;
      fixture.StartEngines([=](const std::string& id) {
        return Reply{UnframedHead(id, version) + body, true};
      });
      const std::string response = fixture.Send();
      BOOST_TEST_CONTEXT(version << " " << body << ": " << response) {
        BOOST_TEST(HasStatus(response, "200"));
        BOOST_TEST(IsComplete(response));
        BOOST_TEST(response.ends_with(EventChunk(1) + kLastChunk));
        BOOST_TEST(fixture.seen == 2);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(is_an_error_if_no_other_engine_is_left) {
  StartEngines(
      [](const std::string& id) {
        return Reply{UnframedHead(id), true};
      },
      1);
  const std::string response = Send();
  BOOST_TEST(HasStatus(response, "502"));
  BOOST_TEST(response.find("seal-") == std::string::npos);
  harness.RunFor(kSettleTime);
  BOOST_TEST(harness.state().requests_in_progress == 0u);
}

BOOST_AUTO_TEST_CASE(is_an_error_after_the_last_attempt) {
  Start("pool", 3, [&](const std::string&, const std::string& id, int) {
    ++seen;
    return Reply{UnframedHead(id), true};
  });
  BOOST_TEST(HasStatus(Send(), "502"));
  BOOST_TEST(seen == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_an_event)

BOOST_AUTO_TEST_CASE(is_complete) {
  StartEngines([](const std::string& id) {
    return Reply{UnframedHead(id) + kEvent, true};
  });
  const std::string response = Send();
  BOOST_TEST(IsComplete(response));
  BOOST_TEST(response.find(kEvent) != std::string::npos);
  BOOST_TEST(seen == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(the_rest_of_a_resumed_stream, EmptyStreamFixture)

// Engines of which the first breaks the stream off after an event.
struct ResumedStreamFixture : EmptyStreamFixture {
  void StartRest(const std::string& rest) {
    Start("pool", 2,
          [this, rest](const std::string&, const std::string& id, int) {
            return seen++ == 0 ? Reply{StreamHead(id) + EventChunk(1), true}
                               : Reply{rest, true};
          });
  }
};

// Guards against an end that looks complete: the engine that was to go on
// crashed before its first event.
BOOST_FIXTURE_TEST_CASE(is_missing_if_it_ends_with_its_connection_and_no_event,
                        ResumedStreamFixture) {
  StartRest(UnframedHead("id-1"));
  const std::string response = SendAndReadAll();
  BOOST_TEST(seen == 2);
  BOOST_TEST(response.ends_with(EventChunk(1)));
  BOOST_TEST(harness.last_failure() == asio::error::connection_reset);
}

// Guards against the same end if the engine that was to go on sends again only
// what the caller has.
BOOST_FIXTURE_TEST_CASE(is_missing_if_it_ends_so_after_events_that_were_sent,
                        ResumedStreamFixture) {
  StartRest(UnframedHead("id-1") + kEvent);
  const std::string response = SendAndReadAll();
  BOOST_TEST(response.ends_with(EventChunk(1)));
  BOOST_TEST(harness.last_failure() == asio::error::connection_reset);
}

BOOST_FIXTURE_TEST_CASE(may_be_empty_if_it_ends_with_its_last_chunk,
                        ResumedStreamFixture) {
  StartRest(StreamHead("id-1") + kLastChunk);
  const std::string response = Send();
  BOOST_TEST(seen == 2);
  BOOST_TEST(response.ends_with(EventChunk(1) + kLastChunk));
}

BOOST_AUTO_TEST_SUITE_END()

// An end that the engine itself states is no sign of a crash.
BOOST_FIXTURE_TEST_SUITE(an_empty_response_whose_end_is_stated,
                         EmptyStreamFixture)

BOOST_AUTO_TEST_CASE(is_passed_on) {
  const EmptyStreamFixture::Respond responses[] = {
      [](const std::string& id) { return Reply{StreamHead(id) + kLastChunk}; },
      [](const std::string& id) {
        return Reply{StreamHead(id) + Chunk(kComment) + kLastChunk};
      },
      [](const std::string& id) { return Reply{MakeResponse(id, "")}; },
      [](const std::string& id) {
        return Reply{"HTTP/1.1 204 No Content\r\n" +
                         Field(platform::kRequestId, id) + "\r\n",
                     true};
      }};
  for (const auto& respond : responses) {
    EmptyStreamFixture fixture;
    fixture.StartEngines(respond);
    const std::string response = fixture.Send();
    BOOST_TEST_CONTEXT(respond("id-1").bytes << " -> " << response) {
      BOOST_TEST(response.substr(9, 1) == "2");
      BOOST_TEST(fixture.seen == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(is_passed_on_for_head) {
  StartEngines([](const std::string& id) {
    return Reply{UnframedHead(id), true};
  });
  const std::string response = harness.Exchange(
      MakeRequest("HEAD", "/chat/", "id-1"), [](const std::string& bytes) {
        return bytes.find("\r\n\r\n") != std::string::npos;
      });
  BOOST_TEST(HasStatus(response, "200"));
  BOOST_TEST(response.find("seal-id-1") != std::string::npos);
  BOOST_TEST(seen == 1);
}

BOOST_AUTO_TEST_SUITE_END()

// Engines whose process ends after the head of a response to a prompt with the
// part "bad1".
struct CrashAfterHeadFixture : test::ScriptedEndpointsFixture {
  void StartEngines(const std::string& body) {
    Start("pool", 16,
          [this, body](const std::string& head, const std::string& id, int) {
            if (head.find("bad1:") == std::string::npos)
              return Reply{StreamHead(id) + EventChunk(1) + kLastChunk};
            ++crashes;
            Reply crash{UnframedHead(id) + body};
            crash.exits = true;
            return crash;
          });
  }
  std::string SendChat(const std::string& document) {
    const std::string id = "id-" + std::to_string(++requests);
    return harness.Exchange(
        MakeRequest("POST", "/chat/", id, "body",
                    Field(platform::kPromptPrefix,
                          "a1:512," + document + ":10000,c" + id + ":100")),
        IsComplete);
  }
  void CrashEngines() {
    for (int i = 0; i < 3; ++i) {
      SendChat("bad1");
      SendChat("b2");
    }
    harness.RunFor(milliseconds(1'100));
  }

  void CheckIsRefused() {
    const int crashes_before = crashes;
    const std::string refusal = SendChat("bad1");
    BOOST_TEST(HasStatus(refusal, "503"));
    BOOST_TEST(refusal.find("crashes-endpoints") != std::string::npos);
    BOOST_TEST(crashes == crashes_before);
    BOOST_TEST(HasStatus(SendChat("b2"), "200"));
  }

  int crashes = 0;
  int requests = 0;
};

BOOST_FIXTURE_TEST_SUITE(a_prompt_that_crashes_engines_after_the_head,
                         CrashAfterHeadFixture)

// Guards against a crash that is not recorded, since the end of the connection
// was taken for the end of the response.
BOOST_AUTO_TEST_CASE(is_refused_as_not_run_after_a_few_crashes) {
  StartEngines("");
  CrashEngines();
  CheckIsRefused();
}

// Guards against a crash that is not recorded, since a part of an event was
// taken for the bytes of a faulty engine.
BOOST_AUTO_TEST_CASE(is_refused_as_not_run_after_crashes_inside_an_event) {
  StartEngines("id: 1\ndata: pi");
  CrashEngines();
  CheckIsRefused();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
