#include <boost/test/unit_test.hpp>

#include <limits>

#include "libteaselthread/rate_limits/rate_limit_table.h"
#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 2;
const NamedRate kUnlimited{NamedRate::Kind::kUnlimited, 0};

NamedRate Limited(double rate) {
  return {NamedRate::Kind::kLimited, rate};
}

std::vector<std::string> Nodes(int count) {
  std::vector<std::string> nodes;
  for (int i = 0; i < count; ++i)
    nodes.push_back("node-" + std::to_string(i));
  return nodes;
}

struct LimitFixture {
  LimitFixture() { endpoint.id = "endpoint-1"; }

  RateLimitChange Respond(const NamedRate& named) {
    return table.OnResponse(endpoint, named, now - milliseconds(20), now);
  }
  RateLimitChange Hear(std::optional<double> rate, Duration age) {
    return table.OnUpdate(
        endpoint,
        {ShortHash(endpoint.id), StartKey(endpoint.started_at_ms), rate, age},
        now);
  }
  // Sends as often as allowed for `time`. Returns the number of requests.
  int SendFor(Duration time) {
    int sent = 0;
    for (const Timestamp end = now + time; now < end; now += milliseconds(10)) {
      if (!table.Allows(endpoint, now))
        continue;
      table.OnSend(endpoint, now);
      ++sent;
    }
    return sent;
  }

  EndpointRecord endpoint;
  RateLimitTable table;
  Timestamp now{seconds(100)};
};

BOOST_AUTO_TEST_SUITE(the_share_of_a_limit)

BOOST_AUTO_TEST_CASE(adds_up_to_the_limit_over_all_nodes) {
  for (const double rate : {0.1, 0.3, 1.0, 2.5, 17.0, 1e6}) {
    const RateAllowance allowance = RateAllowance::For(rate);
    const double seconds =
        std::chrono::duration<double>(allowance.window).count();
    BOOST_TEST(allowance.requests <= rate * seconds + 1e-6);
    for (const int count : {1, 7, 58, 124, 295}) {
      const std::vector<std::string> nodes = Nodes(count);
      uint64_t total = 0;
      for (const std::string& node : nodes)
        total += RateLimitShare::For(allowance, "e", node, nodes).requests;
      BOOST_TEST(total == allowance.requests);
    }
  }
}

BOOST_AUTO_TEST_CASE(favours_other_nodes_for_other_endpoints) {
  const std::vector<std::string> nodes = Nodes(58);
  const RateAllowance allowance = RateAllowance::For(kRate);
  uint32_t total = 0;
  for (int i = 0; i < 100; ++i) {
    total +=
        RateLimitShare::For(allowance, "e" + std::to_string(i), nodes[0], nodes)
            .requests;
  }
  // The mean is 100 * 8 / 58.
  BOOST_TEST(total >= 5u);
  BOOST_TEST(total <= 25u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_endpoint_without_a_limit, LimitFixture)

BOOST_AUTO_TEST_CASE(gets_any_number_of_requests) {
  BOOST_TEST((Respond(kUnlimited) == RateLimitChange::kNone));
  BOOST_TEST(SendFor(seconds(1)) == 100);
  BOOST_TEST(table.TakeForRefresh(now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_endpoint_that_names_a_limit, LimitFixture)

BOOST_AUTO_TEST_CASE(gets_no_more_in_any_window_and_no_bursts) {
  BOOST_TEST((Respond(Limited(kRate)) == RateLimitChange::kNamed));
  BOOST_TEST(SendFor(milliseconds(500)) <= 2);
  const int sent = SendFor(seconds(40));
  BOOST_TEST(sent <= 81);
  BOOST_TEST(sent >= 70);
}

BOOST_AUTO_TEST_CASE(that_is_raised_or_lowered_gets_what_it_says_last) {
  Respond(Limited(kRate));
  BOOST_TEST((Respond(Limited(4 * kRate)) == RateLimitChange::kChanged));
  BOOST_TEST(SendFor(seconds(8)) > 50);
  BOOST_TEST((Respond(Limited(kRate / 4)) == RateLimitChange::kChanged));
  BOOST_TEST(SendFor(seconds(8)) <= 4);
}

BOOST_AUTO_TEST_CASE(is_unlimited_after_a_later_request_names_none) {
  Respond(Limited(kRate));
  now += milliseconds(100);
  BOOST_TEST((Respond(kUnlimited) == RateLimitChange::kLifted));
  BOOST_TEST(SendFor(seconds(1)) == 100);
}

BOOST_AUTO_TEST_CASE(stays_limited_after_a_response_that_was_overtaken) {
  Respond(Limited(kRate));
  now += milliseconds(10);
  BOOST_TEST((Respond(kUnlimited) == RateLimitChange::kNone));
  BOOST_TEST(table.size() == 1u);
}

BOOST_AUTO_TEST_CASE(stays_limited_after_an_error_or_an_unreadable_value) {
  Respond(Limited(kRate));
  now += seconds(1);
  BOOST_TEST((Respond({}) == RateLimitChange::kNone));
  BOOST_TEST(table.size() == 1u);
}

BOOST_AUTO_TEST_CASE(stays_limited_when_its_record_lapses) {
  Respond(Limited(kRate));
  now += seconds(60);
  table.Sweep([](const std::string&) { return false; }, now);
  BOOST_TEST(table.size() == 1u);
  now += seconds(600);
  table.Sweep([](const std::string&) { return true; }, now);
  BOOST_TEST(table.size() == 1u);
}

BOOST_AUTO_TEST_CASE(is_unlimited_as_another_incarnation) {
  Respond(Limited(kRate));
  const RateLimitUpdate of_before = table.All(now).front();
  ++endpoint.started_at_ms;
  BOOST_TEST(SendFor(seconds(1)) == 100);
  table.OnUpdate(endpoint, of_before, now);
  BOOST_TEST(SendFor(seconds(1)) == 100);
}

BOOST_AUTO_TEST_SUITE(of_no_requests_at_all)

BOOST_AUTO_TEST_CASE(gets_one_from_time_to_time) {
  Respond(Limited(0));
  const int sent = SendFor(seconds(100));
  BOOST_TEST(sent >= 8);
  BOOST_TEST(sent <= 11);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_more_than_any_endpoint_takes)

BOOST_AUTO_TEST_CASE(gets_any_number_of_requests) {
  for (const double rate : {1e18, std::numeric_limits<double>::max()}) {
    Respond(Limited(rate));
    BOOST_TEST(SendFor(seconds(1)) == 100);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_limit_that_another_node_tells_of, LimitFixture)

BOOST_AUTO_TEST_CASE(holds_without_a_response_to_this_node) {
  BOOST_TEST((Hear(kRate, milliseconds(50)) == RateLimitChange::kNamed));
  BOOST_TEST(SendFor(seconds(4)) <= 8);
}

BOOST_AUTO_TEST_CASE(is_passed_on_once_and_only_within_the_zone) {
  Hear(kRate, milliseconds(50));
  const RateLimitNews news = table.TakeChanges(now);
  BOOST_TEST(news.for_zone.size() == 1u);
  BOOST_TEST(news.for_other_zones.empty());
  Hear(kRate, Duration::zero());
  BOOST_TEST(table.TakeChanges(now).for_zone.empty());
}

BOOST_AUTO_TEST_CASE(yields_to_a_later_word_and_not_to_an_earlier_one) {
  Hear(kRate, milliseconds(500));
  BOOST_TEST((Hear(std::nullopt, seconds(2)) == RateLimitChange::kNone));
  BOOST_TEST(
      (Hear(std::nullopt, milliseconds(50)) == RateLimitChange::kLifted));
}

BOOST_AUTO_TEST_CASE(holds_against_one_of_the_same_time_that_lifts_it) {
  Hear(std::nullopt, milliseconds(50));
  BOOST_TEST((Hear(kRate, milliseconds(90)) == RateLimitChange::kNamed));
  BOOST_TEST((Hear(std::nullopt, milliseconds(40)) == RateLimitChange::kNone));
}

BOOST_AUTO_TEST_CASE(is_no_news_if_it_differs_by_little) {
  Hear(kRate, seconds(1));
  BOOST_TEST((Hear(kRate * 1.05, Duration::zero()) == RateLimitChange::kNone));
  now += seconds(1);
  BOOST_TEST(
      (Hear(kRate * 1.2, Duration::zero()) == RateLimitChange::kChanged));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_node_without_a_share, LimitFixture)

BOOST_AUTO_TEST_CASE(sends_nothing_while_the_limit_is_heard_of) {
  table.SetNodes("node-57", Nodes(58));
  while (table.Allows(endpoint, now)) {
    endpoint.id += "x";
    Respond(Limited(kRate));
  }
  BOOST_TEST(!table.NextSendAt(endpoint, now).has_value());
  BOOST_TEST(SendFor(seconds(9)) == 0);
  Hear(kRate, Duration::zero());
  BOOST_TEST(SendFor(seconds(9)) == 0);
}

BOOST_AUTO_TEST_CASE(tries_in_its_turn_once_nobody_has_heard_of_it) {
  table.SetNodes("node-57", Nodes(58));
  do {
    endpoint.id += "x";
    Respond(Limited(kRate));
  } while (table.Allows(endpoint, now));
  // Each of the 58 has a turn of half a second.
  const Duration stale_age =
      RateLimitTable::kStaleAge +
      RateLimitTable::kStaleAgePerLimit * static_cast<int>(table.size());
  BOOST_TEST(SendFor(stale_age + seconds(29)) >= 1);
  BOOST_TEST(SendFor(seconds(29)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
