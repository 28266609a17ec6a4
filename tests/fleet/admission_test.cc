#include "libteaselthread/admission_controller.h"

#include <boost/test/unit_test.hpp>

#include "libteaselthread/membership/owner_index.h"
#include "support/fake_fleet.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;
using test::FakeNode;

// Loads that a test sets stay recent.
constexpr Timestamp kLater(seconds(1'000'000));
constexpr char kEngine[] = "engine-1";
constexpr EndpointReport kWarmReport{0, EndpointTemperature::kWarm};
constexpr EndpointReport kColdReport{0, EndpointTemperature::kCold};

AdmissionRequest Ask(CallId id,
                     bool may_queue = false,
                     const std::string& customer = "c",
                     int priority = 5) {
  return {id, customer, priority, At(seconds(60)),
          may_queue ? Placement::kUntilDeadline : Duration::zero()};
}

// One node that owns two engines, warm and past its guard.
struct OwnerFixture {
  OwnerFixture()
      : node(test::MakeMember(1, "a"),
             {test::MakeEngine(kEngine, "a"),
              test::MakeEngine("engine-2", "a")}) {
    FakeNode::Introduce({&node}, At(seconds(0)));
    node.admission.Tick(At(seconds(0)));
    node.admission.Tick(At(seconds(3)));
    Report(kWarmReport, seconds(3));
  }
  void Report(EndpointReport report, Duration at) {
    node.admission.OnEndpointReport(kEngine, report, At(at));
  }
  AdmissionDecision Submit(const AdmissionRequest& request,
                           Duration at = seconds(4)) {
    return node.admission.Submit(kEngine, request, At(at));
  }
  AdmissionVerdict Verdict(const AdmissionRequest& request,
                           Duration at = seconds(4)) {
    return Submit(request, at).verdict;
  }
  // Raises the mean load, so that only other limits count.
  void LoadTheOther(uint32_t load) {
    node.loads.Merge({"engine-2", "entry-9", load, EndpointTemperature::kWarm,
                      1'000'000'000'000},
                     kLater);
  }

  FakeNode node;
};

BOOST_FIXTURE_TEST_SUITE(an_owner_admits_within_limits, OwnerFixture)

BOOST_AUTO_TEST_SUITE(within_the_load_bound)

BOOST_AUTO_TEST_CASE(which_is_a_multiple_of_the_mean_and_at_least_one) {
  LoadTheOther(0);
  BOOST_TEST((Verdict(Ask(1)) == AdmissionVerdict::kAdmitted));
  const AdmissionDecision second = Submit(Ask(2));
  BOOST_TEST((second.reason == RefusalReason::kEndpointBusy));
  BOOST_TEST((second.retry_after > Duration::zero()));
  LoadTheOther(3);
  node.loads.Merge(
      {"engine-2", "entry-9", 3, EndpointTemperature::kWarm, 1'000'000'000'001},
      kLater);
  BOOST_TEST((Verdict(Ask(2)) == AdmissionVerdict::kAdmitted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(within_the_cold_limit)

BOOST_AUTO_TEST_CASE(while_the_endpoint_reports_a_cold_start) {
  LoadTheOther(8);
  Report(kColdReport, seconds(4));
  BOOST_TEST((Verdict(Ask(1)) == AdmissionVerdict::kAdmitted));
  BOOST_TEST((Verdict(Ask(2)) == AdmissionVerdict::kRefused));
  Report(kWarmReport, seconds(5));
  BOOST_TEST((Verdict(Ask(2), seconds(5)) == AdmissionVerdict::kAdmitted));
}

BOOST_AUTO_TEST_CASE(and_when_slow_answers_show_one_that_was_not_announced) {
  LoadTheOther(8);
  Verdict(Ask(1));
  node.admission.OnFirstByte(kEngine, seconds(31), At(seconds(4)));
  BOOST_TEST((Verdict(Ask(2)) == AdmissionVerdict::kRefused));
  Report(kWarmReport, seconds(5));  // older than the slow answer
  BOOST_TEST((Verdict(Ask(2), seconds(5)) == AdmissionVerdict::kRefused));
  Report(kWarmReport, seconds(7));
  BOOST_TEST((Verdict(Ask(2), seconds(7)) == AdmissionVerdict::kAdmitted));
}

BOOST_AUTO_TEST_CASE(and_ramps_up_afterwards) {
  node.Configure(test::DocumentWithModel("slots = 11\nramp_ms = 10000\n"));
  LoadTheOther(100);
  Report(kColdReport, seconds(10));
  Report(kWarmReport, seconds(20));
  CallId id = 0;
  const auto admit_all = [&](Duration at) {
    while (Verdict(Ask(++id), at) == AdmissionVerdict::kAdmitted) {
    }
    return node.admission.RunningTotal();
  };
  BOOST_TEST(admit_all(seconds(20)) == 1u);
  BOOST_TEST(admit_all(seconds(25)) == 6u);
  BOOST_TEST(admit_all(seconds(30)) == 11u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(what_does_not_fit_waits)

BOOST_AUTO_TEST_CASE(by_priority_then_fairly_between_customers) {
  LoadTheOther(0);
  Verdict(Ask(1, true, "office"));
  for (CallId id = 2; id <= 4; ++id)
    BOOST_TEST((Verdict(Ask(id, true, "office")) == AdmissionVerdict::kQueued));
  Verdict(Ask(5, true, "shop"));
  Verdict(Ask(6, true, "office", 0));
  const auto next = [&](CallId ended) {
    const auto results = node.admission.End(kEngine, ended, At(seconds(5)));
    return results.empty() ? CallId(0) : results.front().id;
  };
  BOOST_TEST(next(1) == 6u);
  BOOST_TEST(next(6) == 2u);
  LoadTheOther(2);
  node.loads.Merge(
      {"engine-2", "entry-9", 2, EndpointTemperature::kWarm, 2'000'000'000'000},
      kLater);
  BOOST_TEST(next(0) == 5u);  // a second place: the shop has none yet
}

BOOST_AUTO_TEST_CASE(until_its_deadline_and_never_in_vain) {
  LoadTheOther(0);
  Verdict(Ask(1));
  AdmissionRequest short_lived = Ask(2, true);
  short_lived.deadline = At(seconds(6));
  BOOST_TEST((Verdict(short_lived) == AdmissionVerdict::kQueued));
  const auto expired = node.admission.Tick(At(seconds(6)));
  BOOST_REQUIRE(expired.size() == 1u);
  BOOST_TEST((expired[0].decision.reason == RefusalReason::kDeadlinePassed));
  node.admission.End(kEngine, 1, At(seconds(14)));  // took 10 s
  Verdict(Ask(3), seconds(14));
  AdmissionRequest hopeless = Ask(4, true);
  hopeless.deadline = At(seconds(20));
  const AdmissionDecision refused = Submit(hopeless, seconds(14));
  BOOST_TEST((refused.reason == RefusalReason::kDeadlineTooShort));
  BOOST_TEST((refused.retry_after == seconds(10)));
}

BOOST_AUTO_TEST_CASE(or_for_its_context_only_as_long_as_it_is_worth) {
  LoadTheOther(0);
  Verdict(Ask(1));
  AdmissionRequest returning = Ask(2);
  returning.max_wait = milliseconds(200);
  BOOST_TEST((Verdict(returning) == AdmissionVerdict::kQueued));
  BOOST_TEST(node.admission.Tick(At(milliseconds(4'199))).empty());
  const auto expired = node.admission.Tick(At(milliseconds(4'200)));
  BOOST_REQUIRE(expired.size() == 1u);
  BOOST_TEST((expired[0].decision.reason == RefusalReason::kEndpointBusy));
  node.admission.End(kEngine, 1, At(seconds(14)));  // took 10 s
  Verdict(Ask(3), seconds(14));
  // The expected wait is longer than the context is worth.
  BOOST_TEST(
      (Submit(returning, seconds(14)).reason == RefusalReason::kEndpointBusy));
}

BOOST_AUTO_TEST_CASE(in_a_queue_of_limited_length) {
  LoadTheOther(0);
  Verdict(Ask(1));
  for (CallId id = 2; id < 2 + EndpointQueue::kMaxWaiting; ++id)
    BOOST_TEST((Verdict(Ask(id, true)) == AdmissionVerdict::kQueued));
  BOOST_TEST((Submit(Ask(999, true)).reason == RefusalReason::kQueueFull));
}

BOOST_AUTO_TEST_CASE(and_is_refused_at_once_when_the_zone_is_taken_out) {
  LoadTheOther(0);
  Verdict(Ask(1));
  Verdict(Ask(2, true));
  node.Configure(test::DocumentWithModel("") + "[fleet]\nzones_out = a\n");
  const auto results = node.admission.Tick(At(seconds(5)));
  BOOST_REQUIRE(results.size() == 1u);
  BOOST_TEST((results[0].decision.reason == RefusalReason::kEndpointOut));
  BOOST_TEST(node.admission.RunningTotal() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

// Two nodes of the engine's zone, of which the second one comes later.
struct HandOverFixture {
  HandOverFixture()
      : first(test::MakeMember(1, "a"), Engines()),
        second(test::MakeMember(2, "a"), Engines()) {
    FakeNode::Introduce({&first}, At(seconds(0)));
    first.admission.Tick(At(seconds(0)));
    first.admission.Tick(At(seconds(3)));
    // The engine that moves to the second node once both know each other.
    for (const Endpoint& engine : Engines()) {
      FakeNode probe(test::MakeMember(1, "a"), {});
      FakeNode::Introduce({&probe, &second}, At(seconds(0)));
      if (OwnerIndex(&probe.membership).OwnerOf(engine)->name == "entry-2")
        moving = engine.name;
    }
    BOOST_REQUIRE(!moving.empty());
    first.admission.OnEndpointReport(moving, kWarmReport, At(seconds(3)));
    for (const Endpoint& engine : Engines()) {
      first.loads.Merge({engine.name, "entry-1", 4, EndpointTemperature::kWarm,
                         1'000'000'000'000},
                        kLater);
    }
    first.admission.Submit(moving, Ask(1), At(seconds(4)));
    second.loads.Merge(*first.loads.Find(moving), kLater);
  }
  static std::vector<Endpoint> Engines() {
    std::vector<Endpoint> engines;
    for (int i = 1; i <= 8; ++i)
      engines.push_back(test::MakeEngine("engine-" + std::to_string(i), "a"));
    return engines;
  }
  void BothMeet(Duration at) {
    FakeNode::Introduce({&first, &second}, At(at));
    first.admission.Tick(At(at));
    second.admission.Tick(At(at));
  }

  FakeNode first;
  FakeNode second;
  std::string moving;
};

BOOST_FIXTURE_TEST_SUITE(an_endpoint_changes_its_owner, HandOverFixture)

BOOST_AUTO_TEST_CASE(and_the_new_one_admits_nothing_before_the_hand_over) {
  BothMeet(seconds(5));
  const auto refused = second.admission.Submit(moving, Ask(2), At(seconds(5)));
  BOOST_TEST((refused.reason == RefusalReason::kOwnerGuarded));
  const auto pending = second.admission.PendingHandOvers();
  BOOST_TEST(std::count(pending.begin(), pending.end(),
                        RequestHandOver{moving, "entry-1"}) == 1);
  const HandOverAnswer answer =
      first.admission.HandOver(moving, "entry-2", At(seconds(5)));
  BOOST_TEST(answer.hands_over);
  BOOST_TEST(answer.load == 1u);
  second.admission.OnHandedOver(moving, "entry-1", answer, At(seconds(5)));
  BOOST_TEST(second.loads.LoadOf(moving) == 1u);
  const auto again = first.admission.Submit(moving, Ask(3), At(seconds(5)));
  BOOST_TEST((again.reason == RefusalReason::kNotOwner));
}

BOOST_AUTO_TEST_CASE(and_time_alone_never_replaces_a_living_predecessors_word) {
  BothMeet(seconds(5));
  for (int at = 6; at < 60; ++at) {
    FakeNode::Introduce({&first, &second}, At(seconds(at)));
    second.admission.Tick(At(seconds(at)));
  }
  const auto refused = second.admission.Submit(moving, Ask(2), At(seconds(59)));
  BOOST_TEST((refused.reason == RefusalReason::kOwnerGuarded));
}

BOOST_AUTO_TEST_CASE(or_waits_out_the_fence_of_a_dead_predecessor) {
  BothMeet(seconds(5));
  Member dead = first.membership.self();
  dead.status = MemberStatus::kDead;
  // The witness's contact keeps the node in good standing.
  const Member witness = test::MakeMember(3, "b");
  second.membership.OnContact(witness, {dead}, At(seconds(6)));
  second.admission.Tick(At(seconds(6)));
  BOOST_TEST((second.admission.Submit(moving, Ask(2), At(seconds(6))).reason ==
              RefusalReason::kOwnerGuarded));
  second.membership.OnContact(witness, {}, At(seconds(8)));
  second.admission.Tick(At(seconds(8)));
  // The predecessor's work still counts, until the engine says otherwise.
  BOOST_TEST(second.loads.LoadOf(moving) >= 1u);
  second.admission.OnEndpointReport(moving, kWarmReport, At(seconds(8)));
  BOOST_TEST(second.loads.LoadOf(moving) == 0u);
}

BOOST_AUTO_TEST_CASE(and_a_node_without_contact_to_its_peers_admits_nothing) {
  BothMeet(seconds(5));
  const std::string& other = moving == "engine-1" ? "engine-2" : "engine-1";
  const auto refused = first.admission.Submit(other, Ask(9), At(seconds(20)));
  BOOST_TEST((refused.verdict == AdmissionVerdict::kRefused));
  BOOST_TEST((refused.reason == RefusalReason::kOwnerGuarded ||
              refused.reason == RefusalReason::kNotOwner));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
