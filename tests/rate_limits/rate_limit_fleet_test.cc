#include <boost/test/unit_test.hpp>

#include "rate_limits/limited_fleet.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::LimitedFleet;

// From this time after an endpoint has named its limit, it holds for the whole
// fleet.
constexpr Duration kContactTime = seconds(3);
constexpr int kSeeds = 6;

// What the operators allow in 4 s.
size_t Allowed(double rate) {
  return static_cast<size_t>(1.5 * 4 * rate + 5);
}

struct Fleet {
  explicit Fleet(const LimitedFleet::Options& options)
      : fleet(options), endpoints(options.endpoints) {
    fleet.RunFor(seconds(2));
  }

  void SetAll(std::optional<double> rate) {
    for (int i = 0; i < endpoints; ++i)
      fleet.SetRate(i, rate);
    named_at = fleet.now();
  }
  void CheckLimits(double rate) {
    for (int i = 0; i < endpoints; ++i) {
      BOOST_TEST(fleet.MostInFourSeconds(i, named_at + kContactTime) <=
                 Allowed(rate));
    }
  }
  // The share of the limits that was used from `from` on.
  double Use(double rate, Timestamp from) {
    double sent = 0;
    for (int i = 0; i < endpoints; ++i)
      sent += static_cast<double>(fleet.Sent(i, from));
    const double time =
        std::chrono::duration<double>(fleet.now() - from).count();
    return sent / (rate * time * endpoints);
  }

  LimitedFleet fleet;
  int endpoints;
  Timestamp named_at{};
};

// Load pattern: all endpoints of a service take far less than the demand, which
// goes on, before fleets of all sizes.
BOOST_AUTO_TEST_SUITE(a_fleet_whose_endpoints_all_name_a_limit)

BOOST_AUTO_TEST_CASE(keeps_it_and_uses_most_of_it) {
  for (const int gateways : {1, 7, 58, 124}) {
    for (const double rate : {0.25, 1.0, 2.5}) {
      Fleet test({.gateways = gateways, .demand = 300});
      test.SetAll(rate);
      test.fleet.RunFor(seconds(20));
      test.CheckLimits(rate);
      const double use = test.Use(rate, test.named_at + seconds(8));
      BOOST_TEST(use > 0.6,
                 gateways << " gateways, rate " << rate << ": use " << use);
    }
  }
}

BOOST_AUTO_TEST_CASE(keeps_it_with_hundreds_of_gateways) {
  Fleet test({.gateways = 295, .endpoints = 24, .demand = 600});
  test.SetAll(1);
  test.fleet.RunFor(seconds(15));
  test.CheckLimits(1);
}

BOOST_AUTO_TEST_CASE(keeps_it_at_more_endpoints_than_fit_into_a_message) {
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    Fleet test(
        {.gateways = 58, .endpoints = 89, .demand = 1'500, .seed = seed});
    test.SetAll(2.5);
    test.fleet.RunFor(seconds(30));
    test.CheckLimits(2.5);
    BOOST_TEST(test.Use(2.5, test.named_at + seconds(15)) <= 1.05);
  }
}

BOOST_AUTO_TEST_CASE(keeps_it_while_messages_are_lost) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Fleet test({.demand = 300, .message_loss = 0.3, .seed = seed});
    test.SetAll(2);
    test.fleet.RunFor(seconds(15));
    test.CheckLimits(2);
  }
}

BOOST_AUTO_TEST_CASE(tells_of_it_without_many_messages) {
  Fleet test({.gateways = 58, .endpoints = 40, .demand = 600});
  test.SetAll(2);
  test.fleet.RunFor(seconds(10));
  for (int i = 0; i < 58; ++i)
    BOOST_TEST(test.fleet.UpdatesSent(i) < 10u * 100);
}

BOOST_AUTO_TEST_SUITE(that_changes)

BOOST_AUTO_TEST_CASE(gets_the_full_demand_again_once_it_is_gone) {
  for (const int gateways : {7, 58}) {
    Fleet test({.gateways = gateways, .demand = 300});
    test.SetAll(1);
    test.fleet.RunFor(seconds(12));
    test.SetAll(std::nullopt);
    test.fleet.RunFor(seconds(10));
    const Timestamp from = test.fleet.now() - seconds(5);
    BOOST_TEST(test.Use(300.0 / 12, from) > 0.9);
  }
}

BOOST_AUTO_TEST_CASE(keeps_the_lower_one) {
  Fleet test({.gateways = 58, .demand = 300});
  test.SetAll(4);
  test.fleet.RunFor(seconds(6));
  test.SetAll(0.5);
  test.fleet.RunFor(seconds(15));
  test.CheckLimits(0.5);
}

BOOST_AUTO_TEST_CASE(serves_a_new_incarnation_without_limit) {
  Fleet test({.gateways = 7, .demand = 100});
  test.SetAll(1);
  test.fleet.RunFor(seconds(6));
  test.fleet.Restart(0);
  test.fleet.SetRate(0, std::nullopt);
  const Timestamp from = test.fleet.now() + seconds(1);
  test.fleet.RunFor(seconds(6));
  BOOST_TEST(test.fleet.Sent(0, from) > 200u);
}

BOOST_AUTO_TEST_CASE(is_found_out_after_a_time_without_requests) {
  Fleet test({.gateways = 58, .demand = 300});
  test.SetAll(1);
  test.fleet.RunFor(seconds(4));
  test.fleet.SetDemand(0);
  test.fleet.RunFor(seconds(30));
  test.fleet.SetDemand(300);
  test.SetAll(1);
  test.fleet.RunFor(seconds(12));
  test.CheckLimits(1);
  test.SetAll(std::nullopt);
  test.fleet.RunFor(seconds(12));
  BOOST_TEST(test.Use(300.0 / 12, test.fleet.now() - seconds(3)) > 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_gateways)

void CheckWithOneThat(const std::function<void(Fleet&)>& fails) {
  for (const int gateways : {7, 58}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet test({.gateways = gateways, .demand = 300, .seed = seed});
      test.SetAll(2);
      test.fleet.RunFor(seconds(5));
      fails(test);
      test.fleet.RunFor(seconds(10));
      test.CheckLimits(2);
    }
  }
}

BOOST_AUTO_TEST_CASE(freeze_and_resume_keeps_it) {
  CheckWithOneThat([](Fleet& test) {
    test.fleet.Freeze(0);
    test.fleet.RunFor(seconds(4));
    test.fleet.Resume(0);
  });
}

BOOST_AUTO_TEST_CASE(are_killed_and_start_again_keeps_it) {
  CheckWithOneThat([](Fleet& test) {
    test.fleet.Kill(0);
    test.fleet.RunFor(seconds(2));
    test.fleet.Resume(0);
  });
}

BOOST_AUTO_TEST_CASE(are_cut_off_from_the_others_keeps_it) {
  CheckWithOneThat([](Fleet& test) { test.fleet.CutOff(0); });
}

BOOST_AUTO_TEST_CASE(join_keeps_it) {
  CheckWithOneThat([](Fleet& test) {
    for (int i = 0; i < 3; ++i) {
      test.fleet.Join();
      test.fleet.RunFor(seconds(1));
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
