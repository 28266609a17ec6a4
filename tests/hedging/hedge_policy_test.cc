#include "libteaselthread/attempts/hedge_policy.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

#include "gateway/gateway_fixtures.h"

namespace teaselthread {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;

constexpr size_t kNodes = 1;
constexpr char kRoute[] = "list";

// A plain service with five endpoints that gets a request every 10 ms.
class ServiceSimulation {
 public:
  explicit ServiceSimulation(double share) { policy.set_share(share); }

  // Sends requests and returns their sorted latencies.
  std::vector<Duration> Run(int requests) {
    std::vector<Duration> latencies;
    for (int i = 0; i < requests; ++i)
      latencies.push_back(Serve());
    std::sort(latencies.begin(), latencies.end());
    return latencies;
  }

  HedgePolicy policy{seconds(10)};
  RetryAllowance retries{RetryLimit{0.2, 50, seconds(10)}};
  int hedges = 0;
  int slow_per_thousand = 0;  // of the responses of endpoint 0
  int slowness = 1;           // of the whole service
  Timestamp now = At(seconds(1));

 private:
  Duration ResponseTime(int endpoint) {
    const bool is_slow = endpoint == 0 && Random(0, 999) < slow_per_thousand;
    return milliseconds(slowness * Random(20, 100) + (is_slow ? 1'000 : 0));
  }

  Duration Serve() {
    now += milliseconds(10);
    policy.OnRequest(now);
    retries.OnRequest(now);
    const int endpoint = Random(0, 4);
    const Duration first = ResponseTime(endpoint);
    const auto delay = policy.DelayFor(kRoute);
    if (!delay || first <= *delay) {
      policy.OnResponseInTime();
      policy.OnResponseTime(kRoute, first);
      return first;
    }
    policy.OnLate();
    Duration latency = first;
    const HedgeQuery query{kRoute, true, seconds(5), 0.3, 0};
    if (!policy.Check(query, now) && !policy.TryTake(&retries, kNodes, now)) {
      ++hedges;
      latency = std::min(first, *delay + ResponseTime((endpoint + 1) % 5));
    }
    policy.OnResponseTime(kRoute, latency);
    return latency;
  }

  int Random(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }

  std::mt19937 random_{7};
};

Duration Percentile99(const std::vector<Duration>& sorted) {
  return sorted[sorted.size() * 99 / 100];
}

// The load that hedging answers: 1 in 10 responses of one endpoint in five
// takes a second longer.
BOOST_AUTO_TEST_SUITE(few_slow_responses_of_one_endpoint)

BOOST_AUTO_TEST_CASE(are_replaced_by_those_of_other_endpoints) {
  ServiceSimulation without(0);
  ServiceSimulation with(0.1);
  without.slow_per_thousand = with.slow_per_thousand = 100;
  BOOST_TEST((Percentile99(without.Run(5'000)) >= seconds(1)));
  BOOST_TEST((Percentile99(with.Run(5'000)) < milliseconds(200)));
  BOOST_TEST(without.hedges == 0);
  BOOST_TEST(with.hedges <= 0.1 * 5'000);
}

// Guards against a delay that shrinks as the slowest responses are cancelled
// and thus missing among the response times: more and more requests would be
// hedged.
BOOST_AUTO_TEST_CASE(do_not_change_the_delay_by_being_cancelled) {
  ServiceSimulation service(0.1);
  service.slow_per_thousand = 100;
  service.Run(300);
  for (int i = 0; i < 50; ++i) {
    service.Run(100);
    const auto delay = service.policy.DelayFor(kRoute);
    BOOST_REQUIRE(delay.has_value());
    BOOST_TEST((*delay >= milliseconds(92)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

// Hedges would add to the load that makes the service slow.
BOOST_AUTO_TEST_SUITE(a_service_that_is_slow_as_a_whole)

BOOST_AUTO_TEST_CASE(gets_no_hedges_after_the_first_few_late_responses) {
  ServiceSimulation service(0.2);
  service.Run(2'000);
  service.slowness = 5;
  service.hedges = 0;
  service.Run(200);
  BOOST_TEST(service.hedges <= 13);
  // The delay has followed the response times by now.
  service.Run(800);
  BOOST_TEST(service.hedges <= 13);
}

BOOST_AUTO_TEST_CASE(gets_none_while_it_becomes_slower_and_slower) {
  ServiceSimulation service(0.2);
  service.Run(2'000);
  service.hedges = 0;
  for (int i = 2; i < 32; ++i) {
    service.slowness = i;
    service.Run(50);
  }
  BOOST_TEST(service.hedges < 30);
}

BOOST_AUTO_TEST_CASE(is_hedged_again_once_it_is_as_usual) {
  ServiceSimulation service(0.2);
  service.slow_per_thousand = 100;
  service.Run(2'000);
  service.slowness = 5;
  service.Run(60);
  service.slowness = 1;
  service.Run(600);
  service.hedges = 0;
  service.Run(1'000);
  BOOST_TEST(service.hedges > 10);
}

BOOST_AUTO_TEST_SUITE_END()

struct PolicyFixture {
  PolicyFixture() {
    policy.set_share(0.1);
    // 1 to 100 ms in mixed order.
    for (int i = 0; i < 100; ++i) {
      policy.OnResponseTime(kRoute, milliseconds(1 + 37 * i % 100));
      policy.OnRequest(now);
      retries.OnRequest(now);
    }
  }

  HedgePolicy policy{seconds(10)};
  RetryAllowance retries{RetryLimit{0.2, 50, seconds(10)}};
  HedgeQuery query{kRoute, true, seconds(5), 0.3, 0};
  Timestamp now = At(seconds(1));
};

BOOST_FIXTURE_TEST_SUITE(a_late_request, PolicyFixture)

BOOST_AUTO_TEST_CASE(is_late_after_the_95th_percentile) {
  BOOST_TEST((policy.DelayFor(kRoute) == milliseconds(96)));
}

// Guards against hedges that cannot win: where response times vary little, the
// first response arrives soon after the 95th percentile.
BOOST_AUTO_TEST_CASE(is_not_late_before_1_5_times_the_median) {
  for (int i = 0; i < 300; ++i)
    policy.OnResponseTime("steady", milliseconds(12 + i % 2));
  BOOST_TEST((policy.DelayFor("steady") == microseconds(19'500)));
}

BOOST_AUTO_TEST_CASE(is_not_hedged_while_few_response_times_are_known) {
  HedgePolicy fresh(seconds(10));
  fresh.set_share(0.1);
  for (size_t i = 0; i + 1 < ResponseTimes::kMinCount; ++i)
    fresh.OnResponseTime(kRoute, milliseconds(10));
  BOOST_TEST(!fresh.DelayFor(kRoute).has_value());
  fresh.OnResponseTime(kRoute, milliseconds(10));
  BOOST_TEST(fresh.DelayFor(kRoute).has_value());
  BOOST_TEST(!fresh.DelayFor("other").has_value());
}

BOOST_AUTO_TEST_CASE(is_not_hedged_if_the_share_is_zero) {
  policy.set_share(0);
  BOOST_TEST(!policy.DelayFor(kRoute).has_value());
}

BOOST_AUTO_TEST_CASE(is_hedged_if_nothing_speaks_against_it) {
  BOOST_TEST(!policy.Check(query, now).has_value());
  BOOST_TEST(!policy.TryTake(&retries, kNodes, now).has_value());
}

BOOST_AUTO_TEST_CASE(is_not_hedged_if_no_other_endpoint_may_run_it) {
  query.may_run_elsewhere = false;
  BOOST_TEST((policy.Check(query, now) == HedgeDenial::kMaxAttempts));
}

BOOST_AUTO_TEST_CASE(is_not_hedged_shortly_before_its_deadline) {
  query.time_left = milliseconds(30);
  BOOST_TEST((policy.Check(query, now) == HedgeDenial::kDeadline));
}

BOOST_AUTO_TEST_CASE(is_not_hedged_while_the_service_is_short_of_capacity) {
  query.mean_load_share = 0.51;
  BOOST_TEST((policy.Check(query, now) == HedgeDenial::kNoCapacity));
  query.mean_load_share = 0.5;
  query.waiting = 1;
  BOOST_TEST((policy.Check(query, now) == HedgeDenial::kNoCapacity));
  query.waiting = 0;
  policy.OnRejection(now);
  BOOST_TEST((policy.Check(query, now + milliseconds(1'900)) ==
              HedgeDenial::kNoCapacity));
  BOOST_TEST(!policy.Check(query, now + seconds(2)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(the_limit_on_hedges, PolicyFixture)

// Retries of failed attempts must not be denied because of hedges.
BOOST_AUTO_TEST_CASE(leaves_half_of_the_retry_allowance_to_retries) {
  policy.set_share(HedgePolicy::kMaxShare);
  RetryAllowance few(RetryLimit{0.2, 0, seconds(10)});
  for (int i = 0; i < 100; ++i)
    few.OnRequest(now);
  int hedges = 0;
  while (!policy.TryTake(&few, kNodes, now))
    ++hedges;
  int retries_left = 0;
  while (few.TryTake(kNodes, now))
    ++retries_left;
  BOOST_TEST(hedges > 0);
  BOOST_TEST(retries_left >= hedges);
}

// The gateways do not tell each other of their hedges. Each of them has as many
// late requests as it has requests, and a few get most of the traffic.
BOOST_AUTO_TEST_CASE(holds_for_124_gateways_with_unequal_traffic) {
  constexpr size_t kGateways = 124;
  constexpr double kShare = 0.05;
  struct Gateway {
    HedgePolicy policy{seconds(10)};
    RetryAllowance retries{RetryLimit{0.2, 50, seconds(10)}};
  };
  std::vector<Gateway> gateways(kGateways);
  std::vector<double> weights;
  for (size_t i = 0; i < kGateways; ++i) {
    gateways[i].policy.set_share(kShare);
    weights.push_back(1.0 / static_cast<double>(1 + i));
  }
  std::mt19937 random(3);
  std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
  std::vector<int64_t> hedges;
  constexpr int64_t kRequestsPerMs = 1;
  for (int64_t ms = 0; ms < 40'000; ++ms) {
    Gateway& gateway = gateways[pick(random)];
    const Timestamp at = At(milliseconds(ms));
    gateway.policy.OnRequest(at);
    gateway.retries.OnRequest(at);
    if (!gateway.policy.TryTake(&gateway.retries, kGateways, at))
      hedges.push_back(ms);
  }
  for (int64_t start = 0; start < 30'000; start += 100) {
    const auto sent = std::count_if(
        hedges.begin(), hedges.end(),
        [&](int64_t time) { return time >= start && time < start + 10'000; });
    BOOST_TEST(static_cast<double>(sent) <= kShare * 10'000 * kRequestsPerMs);
  }
  // The limit is used, too.
  BOOST_TEST(static_cast<double>(hedges.size()) > 0.4 * kShare * 40'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
