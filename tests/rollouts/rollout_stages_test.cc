#include <boost/test/unit_test.hpp>

#include "rollouts/rollout_fleet.h"

namespace teaselthread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWarmUp = seconds(8);
constexpr Duration kDuration = seconds(12);
constexpr double kExposeShare = 0.1;
constexpr int kExposeSlack = 50;
constexpr int kRollbackMs = 5'000;

struct Run {
  explicit Run(RolloutFleetOptions options) : fleet(std::move(options)) {
    fleet.RunFor(kWarmUp);
    before = fleet.counts();
    fleet.Order("v2", kDuration);
  }
  // What the operators' bound for bad versions is computed from.
  void FinishAndCheckBad() {
    fleet.RunFor(kDuration);
    const int sends = fleet.counts().sends - before.sends;
    BOOST_TEST(fleet.counts().target_sends - before.target_sends <=
               kExposeShare * sends + kExposeSlack);
    fleet.RunFor(seconds(4));
    BOOST_TEST(fleet.state() == "reverted");
    if (fleet.counts().bad >= 50) {
      BOOST_TEST(fleet.counts().last_target_send_ms <=
                 fleet.counts().bad_50_at_ms + kRollbackMs);
    }
  }
  void FinishAndCheckGood() {
    fleet.RunFor(kDuration);
    BOOST_TEST(fleet.state() == "completed");
    fleet.RunFor(seconds(2));
    BOOST_TEST(fleet.counts().old_sends_after_completion == 0);
  }

  SimulatedFleet fleet;
  SimulatedFleet::Counts before;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(rollouts)
BOOST_AUTO_TEST_SUITE(a_good_version)

BOOST_AUTO_TEST_CASE(is_completed_before_the_deadline) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RolloutFleetOptions options;
    options.seed = seed;
    Run(options).FinishAndCheckGood();
  }
}

BOOST_AUTO_TEST_CASE(is_completed_at_77_nodes_with_unequal_traffic) {
  RolloutFleetOptions options;
  options.nodes = 77;
  options.traffic_decay = 0.95;
  options.requests_per_second = 600;
  options.endpoints = 30;
  Run(options).FinishAndCheckGood();
}

BOOST_AUTO_TEST_CASE(is_completed_although_messages_are_lost_and_reordered) {
  RolloutFleetOptions options;
  options.message_loss = 0.2;
  options.message_repeat = 0.3;
  Run(options).FinishAndCheckGood();
}

BOOST_AUTO_TEST_CASE(is_completed_although_nodes_start_anew_and_die) {
  Run run((RolloutFleetOptions()));
  run.fleet.RunFor(seconds(2));
  run.fleet.Restart(4);
  run.fleet.RunFor(seconds(2));
  run.fleet.Kill(5);
  run.fleet.RunFor(seconds(8));
  BOOST_TEST(run.fleet.state() == "completed");
}

BOOST_AUTO_TEST_CASE(is_completed_while_a_zone_is_evacuated) {
  Run run((RolloutFleetOptions()));
  run.fleet.RunFor(seconds(3));
  run.fleet.Evacuate("b");
  run.fleet.RunFor(seconds(9));
  BOOST_TEST(run.fleet.state() == "completed");
}

BOOST_AUTO_TEST_CASE(is_not_reverted_if_the_old_one_fails_as_often) {
  RolloutFleetOptions options;
  options.old_failures = 0.1;
  options.old_slow = 0.1;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    options.seed = seed;
    Run run(options);
    run.fleet.RunFor(seconds(11));
    BOOST_TEST(run.fleet.state() != "reverted");
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(a_bad_version)

BOOST_AUTO_TEST_CASE(is_reverted_if_it_fails_at_once) {
  for (const double share : {0.15, 0.3, 1.0}) {
    RolloutFleetOptions options;
    options.target = [=](int, Duration, uint32_t) {
      static std::mt19937_64 random(7);
      const bool fails =
          std::uniform_real_distribution<double>(0, 1)(random) < share;
      return SimulatedResponse{fails, 1};
    };
    Run(options).FinishAndCheckBad();
  }
}

BOOST_AUTO_TEST_CASE(is_reverted_if_it_fails_later) {
  for (const int after_s : {3, 5, 7, 8}) {
    RolloutFleetOptions options;
    options.target = [=](int, Duration time, uint32_t) {
      static int count = 0;
      return SimulatedResponse{
          time > kWarmUp + seconds(after_s) && ++count % 3 == 0, 1};
    };
    Run(options).FinishAndCheckBad();
  }
}

BOOST_AUTO_TEST_CASE(is_reverted_if_it_fails_only_under_load) {
  RolloutFleetOptions options;
  options.requests_per_second = 500;
  options.target = [](int, Duration, uint32_t load) {
    static int count = 0;
    return SimulatedResponse{load >= 2 && ++count % 2 == 0, 1};
  };
  Run(options).FinishAndCheckBad();
}

BOOST_AUTO_TEST_CASE(is_reverted_if_it_fails_on_one_route) {
  RolloutFleetOptions options;
  options.routes = 5;
  options.target = [](int route, Duration, uint32_t) {
    static int count = 0;
    return SimulatedResponse{route == 3 && ++count % 2 == 0, 1};
  };
  Run(options).FinishAndCheckBad();
}

BOOST_AUTO_TEST_CASE(is_reverted_if_it_is_several_times_slower) {
  RolloutFleetOptions options;
  options.target = [](int, Duration, uint32_t) {
    return SimulatedResponse{false, 4};
  };
  Run(options).FinishAndCheckBad();
}

BOOST_AUTO_TEST_CASE(keeps_the_exposure_at_77_nodes_with_unequal_traffic) {
  RolloutFleetOptions options;
  options.nodes = 77;
  options.traffic_decay = 0.9;
  options.requests_per_second = 600;
  options.endpoints = 30;
  options.target = [](int, Duration, uint32_t) {
    static int count = 0;
    return SimulatedResponse{++count % 4 == 0, 1};
  };
  Run(options).FinishAndCheckBad();
}

BOOST_AUTO_TEST_CASE(is_cut_off_while_the_store_is_down) {
  RolloutFleetOptions options;
  options.target = [](int, Duration, uint32_t) {
    static int count = 0;
    return SimulatedResponse{++count % 2 == 0, 1};
  };
  Run run(options);
  run.fleet.RunFor(milliseconds(300));
  run.fleet.set_store_down(true);
  run.fleet.RunFor(seconds(8));
  BOOST_TEST(run.fleet.state() != "reverted");
  const int sends = run.fleet.counts().target_sends;
  run.fleet.RunFor(seconds(2));
  BOOST_TEST(run.fleet.counts().target_sends == sends);
  run.fleet.set_store_down(false);
  run.fleet.RunFor(seconds(2));
  BOOST_TEST(run.fleet.state() == "reverted");
}

BOOST_AUTO_TEST_CASE(is_cut_off_by_a_node_that_is_partitioned) {
  RolloutFleetOptions options;
  options.target = [](int, Duration, uint32_t) {
    return SimulatedResponse{true, 1};
  };
  Run run(options);
  run.fleet.RunFor(milliseconds(300));
  run.fleet.Partition(3);
  run.fleet.RunFor(seconds(10));
  BOOST_TEST(
      (run.fleet.table(3).Find("desk")->stage() == RolloutStage::kReverted));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(the_writer)

// The leaders of all zones write at the start, as none has heard of the others.
// A writer that ignored the 409 would write for ever.
BOOST_AUTO_TEST_CASE(that_is_second_reads_again) {
  Run run((RolloutFleetOptions()));
  run.fleet.RunFor(seconds(2));
  BOOST_TEST(run.fleet.state() == "serving");
  BOOST_TEST(run.fleet.conflicts() <= 2);
  BOOST_TEST(run.fleet.writes() == run.fleet.conflicts() + 1);
}

BOOST_AUTO_TEST_CASE(that_dies_between_read_and_write_is_replaced) {
  Run run((RolloutFleetOptions()));
  run.fleet.RunFor(seconds(4));
  run.fleet.KillAtNextWrite(0);
  run.fleet.RunFor(seconds(8));
  BOOST_TEST(!run.fleet.is_alive(0));
  BOOST_TEST(run.fleet.state() == "completed");
}

// A write that is applied seconds later must not change a state that was
// decided on since.
BOOST_AUTO_TEST_CASE(whose_writes_are_applied_late_changes_no_later_state) {
  RolloutFleetOptions options;
  options.target = [](int, Duration time, uint32_t) {
    return SimulatedResponse{time > kWarmUp + seconds(4), 1};
  };
  Run run(options);
  run.fleet.set_late_writes(seconds(3));
  run.fleet.RunFor(seconds(16));
  BOOST_TEST(run.fleet.state() == "reverted");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselthread::test
