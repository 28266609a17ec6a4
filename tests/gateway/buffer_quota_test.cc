#include "teaselthread/gateway/buffer_quota.h"

#include <boost/test/unit_test.hpp>

#include <optional>

#include "gateway/gateway_harness.h"

namespace teaselthread {
namespace {

using test::ScriptedEndpoint;

BOOST_AUTO_TEST_SUITE(a_buffer_quota)

BOOST_AUTO_TEST_CASE(is_shared_by_all_responses) {
  BufferQuota quota(100);
  BufferQuota::Reservation first(&quota);
  std::optional<BufferQuota::Reservation> second(&quota);
  BOOST_TEST(first.Grow(40));
  BOOST_TEST(second->Grow(60));
  BOOST_TEST(!first.Grow(1));
  BOOST_TEST(quota.used() == 100u);
  // When one response ends, another one may use its share.
  second.reset();
  BOOST_TEST(quota.used() == 40u);
  BOOST_TEST(first.Grow(60));
}

BOOST_AUTO_TEST_CASE(grows_to_a_total_only_once) {
  BufferQuota quota(100);
  BufferQuota::Reservation body(&quota);
  BOOST_TEST(body.GrowTo(60));
  BOOST_TEST(body.GrowTo(40));
  BOOST_TEST(quota.used() == 60u);
  BOOST_TEST(!body.GrowTo(101));
  BOOST_TEST(quota.used() == 60u);
}

BOOST_AUTO_TEST_CASE(leaves_memory_for_the_rest_of_the_process) {
  constexpr size_t kMegabyte = size_t{1} << 20;
  BOOST_TEST(BufferQuota::LimitFor(160 * kMegabyte) == 72 * kMegabyte);
  BOOST_TEST(BufferQuota::LimitFor(64 * kMegabyte) == 8 * kMegabyte);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against gateways that exceed the memory of their VM: 37 callers of
// each sent bodies of 4 MB at the same time, and the process was killed with
// all requests that it had passed on.
BOOST_FIXTURE_TEST_SUITE(large_bodies_at_the_same_time,
                         test::ScriptedEndpointsFixture)

BOOST_AUTO_TEST_CASE(are_refused_beyond_the_quota_before_they_are_read) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return ScriptedEndpoint::Reply{test::MakeResponse(id, "done")};
  });
  const BufferQuota& quota = harness.state().buffers();
  BufferQuota::Reservation others(&harness.state().buffers());
  const size_t others_bytes = quota.limit() - quota.reserve() - 1'000'000;
  BOOST_REQUIRE(others.Grow(others_bytes));
  const auto send = [&](size_t size) {
    return harness.Exchange(
        test::MakeRequest("POST", "/order/", "id-1", std::string(size, 'x')),
        test::IsComplete);
  };
  const std::string refusal = send(600'000);
  BOOST_TEST(test::HasStatus(refusal, "503"));
  BOOST_TEST(refusal.find("buffers-full") != std::string::npos);
  BOOST_TEST(refusal.find("Retry-After: 0.0") != std::string::npos);
  BOOST_TEST(endpoints[0]->heads().empty());
  BOOST_TEST(test::HasStatus(send(400'000), "200"));
  harness.RunFor(std::chrono::milliseconds(20));
  BOOST_TEST(quota.used() == others_bytes);
  // Small requests are served from the reserve, and no others.
  BOOST_REQUIRE(others.Grow(1'000'000));
  BOOST_TEST(test::HasStatus(send(100'000), "503"));
  BOOST_TEST(test::HasStatus(send(12'000), "200"));
}

BOOST_AUTO_TEST_CASE(count_while_they_are_read_in_chunks) {
  Start("desk", 1, [](const std::string&, const std::string& id, int) {
    return ScriptedEndpoint::Reply{test::MakeResponse(id, "done")};
  });
  BufferQuota& quota = harness.state().buffers();
  BufferQuota::Reservation others(&quota);
  BOOST_REQUIRE(others.Grow(quota.limit() - quota.reserve() - 1'000'000));
  std::string request = test::MakeRequest("POST", "/order/", "id-1", "",
                                          "Transfer-Encoding: chunked\r\n");
  for (int i = 0; i < 6; ++i)
    request += test::Chunk(std::string(100'000, 'x'));
  const std::string refusal =
      harness.Exchange(request + test::kLastChunk, test::IsComplete);
  BOOST_TEST(test::HasStatus(refusal, "503"));
  BOOST_TEST(endpoints[0]->heads().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
