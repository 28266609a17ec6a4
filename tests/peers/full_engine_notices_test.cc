#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/endpoints/full_engine_notices.h"
#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;
using test::MakeEngineRecord;

constexpr double kLoadBound = 10;

struct NoticesFixture {
  NoticesFixture() {
    engine = std::make_shared<EndpointState>(MakeEngineRecord("e1", "a"), now,
                                             Timestamp{});
  }
  size_t DueCount() {
    return notices.TakeDue({engine}, kLoadBound, now).size();
  }
  void Report(uint32_t running) { engine->OnReport({running, 0}, now); }

  Timestamp now = At(seconds(30));
  EndpointPtr engine;
  FullEngineNotices notices;
};

// Guards against a zone that learns of a full engine only with the next
// heartbeats, and against one that is flooded with notices.
BOOST_FIXTURE_TEST_SUITE(notices_of_full_engines, NoticesFixture)

BOOST_AUTO_TEST_CASE(name_engines_near_the_load_bound) {
  BOOST_TEST(DueCount() == 0u);
  Report(8);
  BOOST_TEST(DueCount() == 0u);
  Report(9);
  const std::vector<LoadUpdate> due =
      notices.TakeDue({engine}, kLoadBound, now);
  BOOST_REQUIRE(due.size() == 1u);
  BOOST_TEST((due.front() == LoadUpdate{ShortHash("e1"), 9, Duration{}}));
}

BOOST_AUTO_TEST_CASE(are_not_repeated_at_once) {
  Report(12);
  BOOST_TEST(DueCount() == 1u);
  now += milliseconds(200);
  Report(14);
  BOOST_TEST(DueCount() == 0u);
  now += milliseconds(100);
  Report(15);
  BOOST_TEST(DueCount() == 1u);
}

BOOST_AUTO_TEST_CASE(are_left_to_the_first_node_that_sends_one) {
  notices.OnShared({ShortHash("e1"), 11, milliseconds(50)}, now);
  Report(12);
  BOOST_TEST(DueCount() == 0u);
  now += FullEngineNotices::kMinInterval;
  Report(12);
  BOOST_TEST(DueCount() == 1u);
}

BOOST_AUTO_TEST_CASE(do_not_contain_old_counts) {
  Report(12);
  now += milliseconds(600);
  BOOST_TEST(DueCount() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
