#include "libteaselthread/attempts/overdue_attempts.h"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;
using Ids = std::set<std::string>;

// Three endpoints in zone a and two in zone b.
struct EndpointsFixture {
  EndpointsFixture() {
    for (const char* id : {"a-0", "a-1", "a-2", "b-0", "b-1"}) {
      endpoints.push_back(std::make_shared<EndpointState>(
          test::MakeDeskRecord(id, std::string(id, 1)), now, now));
    }
  }
  Ids InDoubt() const { return overdue.EndpointsInDoubt(endpoints, now); }

  Timestamp now = At(seconds(1));
  std::vector<EndpointPtr> endpoints;
  OverdueAttempts overdue;
};

// A second attempt there would be late for the same reason as the first one.
BOOST_FIXTURE_TEST_SUITE(an_endpoint_is_in_doubt, EndpointsFixture)

BOOST_AUTO_TEST_CASE(while_it_has_an_overdue_attempt) {
  BOOST_TEST(InDoubt().empty());
  overdue.Add("a-0");
  overdue.Add("a-0");
  overdue.Remove("a-0");
  BOOST_TEST((InDoubt() == Ids{"a-0"}));
  overdue.Remove("a-0");
  BOOST_TEST(InDoubt().empty());
}

BOOST_AUTO_TEST_CASE(if_half_of_its_zone_is) {
  overdue.Add("a-0");
  overdue.Add("a-2");
  BOOST_TEST((InDoubt() == Ids{"a-0", "a-1", "a-2"}));
}

BOOST_AUTO_TEST_CASE(after_a_failure_of_its_own) {
  endpoints[1]->health().OnFailure(1, now);
  endpoints[3]->health().OnUnreachable(now);
  BOOST_TEST((InDoubt() == Ids{"a-1", "b-0"}));
}

BOOST_AUTO_TEST_CASE(while_it_is_cold) {
  endpoints[4]->ExtendCold(now + seconds(1));
  BOOST_TEST((InDoubt() == Ids{"b-1"}));
}

BOOST_AUTO_TEST_SUITE_END()

struct HealthFixture {
  void Cancel(Duration sent_at, Duration now) {
    health.OnCancelled(At(sent_at), milliseconds(300), 0.5, At(now));
  }

  EndpointHealth health;
};

BOOST_FIXTURE_TEST_SUITE(an_endpoint_whose_attempts_are_cancelled,
                         HealthFixture)

// Guards against an endpoint that hangs and is never ejected, since each
// request there is answered by its hedge before the endpoint counts as silent.
BOOST_AUTO_TEST_CASE(is_ejected_if_it_never_responds) {
  for (int i = 0; i < 20; ++i)
    Cancel(milliseconds(50 * i), milliseconds(50 * i + 40));
  BOOST_TEST(health.ejected());
}

BOOST_AUTO_TEST_CASE(is_not_ejected_if_others_of_its_responses_arrive) {
  for (int i = 0; i < 100; ++i) {
    Cancel(milliseconds(50 * i), milliseconds(50 * i + 40));
    if (i % 4 == 0)
      health.OnSuccess();
  }
  BOOST_TEST(!health.ejected());
  BOOST_TEST(health.failure_rate() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
