#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "gateway/gateway_harness.h"
#include "libteaselthread/rendezvous_hash.h"
#include "platform/wire_names.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::EventChunk;
using test::Field;
using test::HasStatus;
using test::IsComplete;
using test::kLastChunk;
using test::MakeRequest;
using test::ScriptedEndpoint;
using test::StreamHead;
using Reply = ScriptedEndpoint::Reply;

const std::string kService = "pool";
const uint32_t kServiceHash = ShortHash(kService);

std::string Resume(const std::string& id,
                   const std::string& resumed_id,
                   const std::string& last_event = "1") {
  std::string fields = Field(platform::kLastEventId, last_event);
  if (!resumed_id.empty())
    fields += Field(platform::kResumes, resumed_id);
  return MakeRequest("POST", "/chat/", id, "body", fields);
}

// A gateway with endpoints of two versions, or of one.
struct ResumptionFixture {
  ResumptionFixture() {
    RouteTableParts parts = test::MakeRoutes().parts();
    parts.version = 2;
    for (ServiceSpec& service : parts.services)
      service.cold_start = Duration::zero();
    parts.customers.push_back({"shop", {"key-2"}, std::nullopt});
    harness.state().UpdateRoutes(
        RouteTable::Create(std::move(parts)).TakeValue());
    harness.state().set_endpoint_confirmation(
        [](Duration) -> asio::awaitable<bool> { co_return true; });
  }

  // Each endpoint sends the first event and stalls, or the rest of a stream.
  void Start(const std::vector<std::string>& versions_to_start) {
    for (const std::string& version : versions_to_start) {
      endpoints.push_back(std::make_unique<ScriptedEndpoint>(
          &harness.io(),
          [](const std::string& head, const std::string& id, int) {
            const bool is_resumed =
                head.find("Last-Event-Id") != std::string::npos;
            return Reply{is_resumed
                             ? StreamHead(id) + EventChunk(2) + kLastChunk
                             : StreamHead(id) + EventChunk(1)};
          }));
      versions.push_back(version);
      harness.AddEndpoint(version + "-" + std::to_string(endpoints.size()),
                          kService, *endpoints.back(), version);
    }
  }
  // The gateway has known these versions for a minute.
  void KnowForLong(const std::set<std::string>& known) {
    harness.state().version_history().OnListed(harness.state().Now() -
                                               seconds(60));
    for (const std::string& version : known) {
      harness.state().version_history().OnRegistered(
          kServiceHash, version, harness.state().Now() - seconds(60));
    }
  }
  // The caller of the stream leaves after its first event.
  void BeginAndBreak(const std::string& id) {
    harness.SendAndDisconnect(MakeRequest("POST", "/chat/", id, "body"),
                              milliseconds(60));
    harness.RunFor(milliseconds(30));
  }
  std::string Send(const std::string& request) {
    harness.state().UpdateVersionHistory();
    return harness.Exchange(request, IsComplete);
  }
  void AddOrigin(const std::string& id, const std::string& version) {
    harness.state().stream_origins().Add(StreamKey::Of(kService, "office", id),
                                         kServiceHash, version,
                                         harness.state().Now());
  }
  // The records of the other gateways are read by calling `read`.
  void SetRecords(std::function<bool(int)> read) {
    harness.state().set_stream_record_source(
        [this, read](Duration) -> asio::awaitable<bool> {
          const bool is_read = read(reads++);
          if (is_read) {
            harness.state().version_history().OnRecordsRead(
                harness.state().Now());
          }
          co_return is_read;
        });
  }
  // The version of the endpoint that got the latest request, if only one
  // version got any since the last call.
  std::string VersionsAsked() {
    std::string asked;
    for (size_t i = 0; i < endpoints.size(); ++i) {
      const size_t count = endpoints[i]->heads().size();
      if (count > seen[i] && asked.find(versions[i]) == std::string::npos)
        asked += versions[i];
      seen[i] = count;
    }
    return asked;
  }

  test::GatewayHarness harness;
  std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
  std::vector<std::string> versions;
  std::map<size_t, size_t> seen;
  int reads = 0;
};

BOOST_AUTO_TEST_SUITE(a_caller_that_resumes_its_stream)

BOOST_FIXTURE_TEST_SUITE(while_two_versions_serve, ResumptionFixture)

// Guards against streams that are joined from two versions: the caller's new
// request went to any of them.
BOOST_AUTO_TEST_CASE(gets_the_version_that_began_it_from_the_same_gateway) {
  Start({"1", "2", "1", "2"});
  for (const char* id : {"id-1", "id-2", "id-3", "id-4"}) {
    BeginAndBreak(id);
    const std::string begun_by = VersionsAsked();
    BOOST_TEST(begun_by.size() == 1u);
    for (int i = 0; i < 4; ++i) {
      const std::string again = std::string(id) + "-" + std::to_string(i);
      BOOST_TEST(HasStatus(Send(Resume(again, id)), "200"));
      BOOST_TEST(VersionsAsked() == begun_by);
    }
  }
}

BOOST_AUTO_TEST_CASE(may_name_a_request_that_resumed_it_before) {
  Start({"1", "2"});
  AddOrigin("id-1", "2");
  BOOST_TEST(HasStatus(Send(Resume("id-2", "id-1")), "200"));
  BOOST_TEST(VersionsAsked() == "2");
  BOOST_TEST(HasStatus(Send(Resume("id-3", "id-2")), "200"));
  BOOST_TEST(VersionsAsked() == "2");
}

BOOST_AUTO_TEST_CASE(gets_that_version_from_a_gateway_that_reads_its_record) {
  Start({"1", "2", "1", "2"});
  SetRecords([this](int) {
    AddOrigin("id-1", "2");
    return true;
  });
  BOOST_TEST(HasStatus(Send(Resume("id-2", "id-1")), "200"));
  BOOST_TEST(VersionsAsked() == "2");
  BOOST_TEST(reads == 1);
}

BOOST_AUTO_TEST_CASE(waits_for_a_record_that_is_written_meanwhile) {
  Start({"1", "2"});
  SetRecords([this](int number) {
    if (number > 0)
      AddOrigin("id-1", "1");
    return true;
  });
  BOOST_TEST(HasStatus(Send(Resume("id-2", "id-1")), "200"));
  BOOST_TEST(VersionsAsked() == "1");
  BOOST_TEST(reads == 2);
}

BOOST_AUTO_TEST_CASE(is_refused_if_nobody_knows_which_version_began_it) {
  Start({"1", "2"});
  SetRecords([](int) { return true; });
  for (const char* resumed_id : {"id-0", "id-2", ""}) {
    const std::string response = Send(Resume("id-2", resumed_id));
    BOOST_TEST(HasStatus(response, "503"));
    BOOST_TEST(response.find("stream-origin-unknown") != std::string::npos);
    BOOST_TEST(response.find("Retry-After: 0.") != std::string::npos);
  }
  BOOST_TEST(HasStatus(Send(Resume("id-3", std::string(8'000, 'x'))), "503"));
  BOOST_TEST(HasStatus(Send(Resume("id-4", "", "not a number")), "503"));
  BOOST_TEST(VersionsAsked() == "");
}

BOOST_AUTO_TEST_CASE(is_refused_if_the_stream_is_another_customers) {
  Start({"1", "2"});
  BeginAndBreak("id-1");
  VersionsAsked();
  std::string request = Resume("id-2", "id-1");
  request.replace(request.find("key-1"), 5, "key-2");
  BOOST_TEST(HasStatus(Send(request), "503"));
  BOOST_TEST(VersionsAsked() == "");
}

BOOST_AUTO_TEST_CASE(is_refused_if_no_endpoint_of_its_version_is_left) {
  Start({"2", "2"});
  AddOrigin("id-1", "1");
  const std::string response = Send(Resume("id-2", "id-1"));
  BOOST_TEST(HasStatus(response, "503"));
  BOOST_TEST(response.find("no-endpoint") != std::string::npos);
  BOOST_TEST(VersionsAsked() == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(while_one_version_serves, ResumptionFixture)

BOOST_AUTO_TEST_CASE(gets_it_from_any_gateway_without_a_record) {
  Start({"1", "1"});
  KnowForLong({"1"});
  SetRecords([](int) { return true; });
  BOOST_TEST(HasStatus(Send(Resume("id-2", "id-1")), "200"));
  BOOST_TEST(HasStatus(Send(Resume("id-3", "")), "200"));
  BOOST_TEST(reads == 0);
}

BOOST_AUTO_TEST_CASE(gets_it_from_a_gateway_that_has_just_started) {
  Start({"1", "1"});
  SetRecords([](int) { return true; });
  BOOST_TEST(HasStatus(Send(Resume("id-2", "id-1")), "200"));
}

BOOST_AUTO_TEST_CASE(is_refused_if_another_version_served_a_moment_ago) {
  Start({"2", "2"});
  KnowForLong({"2"});
  harness.state().version_history().OnRecorded(
      kServiceHash, "1", harness.state().Now() - seconds(5));
  BOOST_TEST(HasStatus(Send(Resume("id-2", "id-1")), "503"));
  BOOST_TEST(VersionsAsked() == "");
}

// Guards against streams that are joined from two versions after all gateways
// were killed: those that start know nothing of a version that has just left.
BOOST_AUTO_TEST_CASE(is_refused_if_the_gateway_and_all_endpoints_are_new) {
  Start({"2"});
  EndpointRecord record =
      harness.state().endpoints().Running(kService).front()->record();
  record.started_at_ms =
      static_cast<uint64_t>(
          std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count()) -
      4'000;
  harness.state().endpoints().Put(record, harness.state().Now());
  SetRecords([](int) { return true; });
  BOOST_TEST(HasStatus(Send(Resume("id-2", "id-1")), "503"));
  BOOST_TEST(VersionsAsked() == "");
}

BOOST_AUTO_TEST_CASE(is_refused_by_a_new_gateway_that_cannot_read_the_records) {
  Start({"1"});
  SetRecords([](int) { return false; });
  BOOST_TEST(HasStatus(Send(Resume("id-2", "id-1")), "503"));
  BOOST_TEST(VersionsAsked() == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
