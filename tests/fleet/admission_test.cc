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

// Loads that a test sets at this time never become stale.
constexpr Timestamp kLater(seconds(1'000'000));
constexpr char kEngine[] = "engine-1";
constexpr EndpointReport kWarmReport{0, EndpointTemperature::kWarm};
constexpr EndpointReport kColdReport{0, EndpointTemperature::kCold};

AdmissionRequest MakeRequest(CallId id,
                             bool may_queue = false,
                             const std::string& customer = "c",
                             int priority = 5) {
  return {id, customer, priority, At(seconds(60)),
          may_queue ? Placement::kUntilDeadline : Duration::zero()};
}

// A node that owns two engines, the first of them warm, neither guarded.
struct OwnerFixture {
  OwnerFixture()
      : node(test::MakeMember(1, "a"),
             {test::MakeEngine(kEngine, "a"),
              test::MakeEngine("engine-2", "a")}) {
    FakeNode::ExchangeHeartbeats({&node}, At(seconds(0)));
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
  // Sets the second engine's load and thereby the mean load, so that a high
  // value leaves only the other limits in effect.
  void SetOtherEngineLoad(uint32_t load) {
    node.loads.Merge({"engine-2", "entry-9", load, EndpointTemperature::kWarm,
                      1'000'000'000'000},
                     kLater);
  }

  FakeNode node;
};

BOOST_FIXTURE_TEST_SUITE(an_owner_admits_within_limits, OwnerFixture)

BOOST_AUTO_TEST_SUITE(within_the_load_bound)

BOOST_AUTO_TEST_CASE(which_is_a_multiple_of_the_mean_load_and_at_least_one) {
  SetOtherEngineLoad(0);
  BOOST_TEST((Verdict(MakeRequest(1)) == AdmissionVerdict::kAdmitted));
  const AdmissionDecision second = Submit(MakeRequest(2));
  BOOST_TEST((second.reason == RefusalReason::kEndpointBusy));
  BOOST_TEST((second.retry_after > Duration::zero()));
  SetOtherEngineLoad(3);
  node.loads.Merge(
      {"engine-2", "entry-9", 3, EndpointTemperature::kWarm, 1'000'000'000'001},
      kLater);
  BOOST_TEST((Verdict(MakeRequest(2)) == AdmissionVerdict::kAdmitted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(within_the_cold_limit)

BOOST_AUTO_TEST_CASE(while_the_endpoint_reports_a_cold_start) {
  SetOtherEngineLoad(8);
  Report(kColdReport, seconds(4));
  BOOST_TEST((Verdict(MakeRequest(1)) == AdmissionVerdict::kAdmitted));
  BOOST_TEST((Verdict(MakeRequest(2)) == AdmissionVerdict::kRefused));
  Report(kWarmReport, seconds(5));
  BOOST_TEST(
      (Verdict(MakeRequest(2), seconds(5)) == AdmissionVerdict::kAdmitted));
}

BOOST_AUTO_TEST_CASE(
    and_when_a_slow_response_reveals_an_unreported_cold_start) {
  SetOtherEngineLoad(8);
  Verdict(MakeRequest(1));
  node.admission.OnFirstByte(kEngine, seconds(31), At(seconds(4)));
  BOOST_TEST((Verdict(MakeRequest(2)) == AdmissionVerdict::kRefused));
  Report(kWarmReport, seconds(5));  // perhaps made before it
  BOOST_TEST(
      (Verdict(MakeRequest(2), seconds(5)) == AdmissionVerdict::kRefused));
  Report(kWarmReport, seconds(7));
  BOOST_TEST(
      (Verdict(MakeRequest(2), seconds(7)) == AdmissionVerdict::kAdmitted));
}

BOOST_AUTO_TEST_CASE(and_during_the_ramp_up_afterwards) {
  node.Configure(test::DocumentWithModel("slots = 11\nramp_ms = 10000\n"));
  SetOtherEngineLoad(100);
  Report(kColdReport, seconds(10));
  Report(kWarmReport, seconds(20));
  CallId id = 0;
  const auto admit_all = [&](Duration at) {
    while (Verdict(MakeRequest(++id), at) == AdmissionVerdict::kAdmitted) {
    }
    return node.admission.RunningTotal();
  };
  BOOST_TEST(admit_all(seconds(20)) == 1u);
  BOOST_TEST(admit_all(seconds(25)) == 6u);
  BOOST_TEST(admit_all(seconds(30)) == 11u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_queues_calls_beyond_them)

BOOST_AUTO_TEST_CASE(ordered_by_priority_then_fairly_between_customers) {
  SetOtherEngineLoad(0);
  Verdict(MakeRequest(1, true, "office"));
  for (CallId id = 2; id <= 4; ++id)
    BOOST_TEST((Verdict(MakeRequest(id, true, "office")) ==
                AdmissionVerdict::kQueued));
  Verdict(MakeRequest(5, true, "shop"));
  Verdict(MakeRequest(6, true, "office", 0));
  const auto next = [&](CallId ended) {
    const auto results = node.admission.End(kEngine, ended, At(seconds(5)));
    return results.empty() ? CallId(0) : results.front().id;
  };
  BOOST_TEST(next(1) == 6u);
  BOOST_TEST(next(6) == 2u);
  SetOtherEngineLoad(2);
  node.loads.Merge(
      {"engine-2", "entry-9", 2, EndpointTemperature::kWarm, 2'000'000'000'000},
      kLater);
  BOOST_TEST(next(0) == 5u);  // a second slot: the shop has none yet
}

BOOST_AUTO_TEST_CASE(
    until_their_deadline_unless_it_is_too_short_for_the_queue) {
  SetOtherEngineLoad(0);
  Verdict(MakeRequest(1));
  AdmissionRequest expiring = MakeRequest(2, true);
  expiring.deadline = At(seconds(6));
  BOOST_TEST((Verdict(expiring) == AdmissionVerdict::kQueued));
  const auto expired = node.admission.Tick(At(seconds(6)));
  BOOST_REQUIRE(expired.size() == 1u);
  BOOST_TEST((expired[0].decision.reason == RefusalReason::kDeadlinePassed));
  node.admission.End(kEngine, 1, At(seconds(14)));  // took 10 s
  Verdict(MakeRequest(3), seconds(14));
  AdmissionRequest short_deadline = MakeRequest(4, true);
  short_deadline.deadline = At(seconds(20));
  const AdmissionDecision refused = Submit(short_deadline, seconds(14));
  BOOST_TEST((refused.reason == RefusalReason::kDeadlineTooShort));
  BOOST_TEST((refused.retry_after == seconds(10)));
}

BOOST_AUTO_TEST_CASE(for_at_most_the_context_wait_if_the_chat_returns) {
  SetOtherEngineLoad(0);
  Verdict(MakeRequest(1));
  AdmissionRequest returning = MakeRequest(2);
  returning.max_wait = milliseconds(200);
  BOOST_TEST((Verdict(returning) == AdmissionVerdict::kQueued));
  BOOST_TEST(node.admission.Tick(At(milliseconds(4'199))).empty());
  const auto expired = node.admission.Tick(At(milliseconds(4'200)));
  BOOST_REQUIRE(expired.size() == 1u);
  BOOST_TEST((expired[0].decision.reason == RefusalReason::kEndpointBusy));
  node.admission.End(kEngine, 1, At(seconds(14)));  // took 10 s
  Verdict(MakeRequest(3), seconds(14));
  // The expected wait is longer than the chat may wait for its context.
  BOOST_TEST(
      (Submit(returning, seconds(14)).reason == RefusalReason::kEndpointBusy));
}

BOOST_AUTO_TEST_CASE(in_a_queue_of_limited_length) {
  SetOtherEngineLoad(0);
  Verdict(MakeRequest(1));
  for (CallId id = 2; id < 2 + EndpointQueue::kMaxWaiting; ++id)
    BOOST_TEST((Verdict(MakeRequest(id, true)) == AdmissionVerdict::kQueued));
  BOOST_TEST(
      (Submit(MakeRequest(999, true)).reason == RefusalReason::kQueueFull));
}

BOOST_AUTO_TEST_CASE(and_refuses_them_when_the_zone_is_taken_out_of_service) {
  SetOtherEngineLoad(0);
  Verdict(MakeRequest(1));
  Verdict(MakeRequest(2, true));
  node.Configure(test::DocumentWithModel("") + "[fleet]\nzones_out = a\n");
  const auto results = node.admission.Tick(At(seconds(5)));
  BOOST_REQUIRE(results.size() == 1u);
  BOOST_TEST((results[0].decision.reason == RefusalReason::kEndpointOut));
  BOOST_TEST(node.admission.RunningTotal() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

// Two nodes in the engines' zone; the second one joins later.
struct HandOverFixture {
  HandOverFixture()
      : first(test::MakeMember(1, "a"), Engines()),
        second(test::MakeMember(2, "a"), Engines()) {
    FakeNode::ExchangeHeartbeats({&first}, At(seconds(0)));
    first.admission.Tick(At(seconds(0)));
    first.admission.Tick(At(seconds(3)));
    // Finds an engine that moves to the second node once the nodes know each
    // other.
    for (const Endpoint& engine : Engines()) {
      FakeNode probe(test::MakeMember(1, "a"), {});
      FakeNode::ExchangeHeartbeats({&probe, &second}, At(seconds(0)));
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
    first.admission.Submit(moving, MakeRequest(1), At(seconds(4)));
    second.loads.Merge(*first.loads.Find(moving), kLater);
  }
  static std::vector<Endpoint> Engines() {
    std::vector<Endpoint> engines;
    for (int i = 1; i <= 8; ++i)
      engines.push_back(test::MakeEngine("engine-" + std::to_string(i), "a"));
    return engines;
  }
  void IntroduceBoth(Duration at) {
    FakeNode::ExchangeHeartbeats({&first, &second}, At(at));
    first.admission.Tick(At(at));
    second.admission.Tick(At(at));
  }

  FakeNode first;
  FakeNode second;
  std::string moving;
};

BOOST_FIXTURE_TEST_SUITE(an_endpoint_changes_owner, HandOverFixture)

BOOST_AUTO_TEST_CASE(and_the_new_owner_admits_nothing_before_the_hand_over) {
  IntroduceBoth(seconds(5));
  const auto refused =
      second.admission.Submit(moving, MakeRequest(2), At(seconds(5)));
  BOOST_TEST((refused.reason == RefusalReason::kOwnerGuarded));
  const auto pending = second.admission.PendingHandOvers();
  BOOST_TEST(std::count(pending.begin(), pending.end(),
                        RequestHandOver{moving, "entry-1"}) == 1);
  const HandOverResult result =
      first.admission.HandOver(moving, "entry-2", At(seconds(5)));
  BOOST_TEST(result.hands_over);
  BOOST_TEST(result.load == 1u);
  second.admission.OnHandedOver(moving, "entry-1", result, At(seconds(5)));
  BOOST_TEST(second.loads.LoadOf(moving) == 1u);
  const auto again =
      first.admission.Submit(moving, MakeRequest(3), At(seconds(5)));
  BOOST_TEST((again.reason == RefusalReason::kNotOwner));
}

BOOST_AUTO_TEST_CASE(
    and_the_guard_never_times_out_while_the_previous_owner_is_alive) {
  IntroduceBoth(seconds(5));
  for (int at = 6; at < 60; ++at) {
    FakeNode::ExchangeHeartbeats({&first, &second}, At(seconds(at)));
    second.admission.Tick(At(seconds(at)));
  }
  const auto refused =
      second.admission.Submit(moving, MakeRequest(2), At(seconds(59)));
  BOOST_TEST((refused.reason == RefusalReason::kOwnerGuarded));
}

BOOST_AUTO_TEST_CASE(
    and_the_new_owner_waits_until_a_dead_previous_owner_has_fenced_itself) {
  IntroduceBoth(seconds(5));
  Member dead = first.membership.self();
  dead.status = MemberStatus::kDead;
  // Contact with the monitor keeps the node in good standing.
  const Member monitor = test::MakeMember(3, "b");
  second.membership.OnContact(monitor, {dead}, At(seconds(6)));
  second.admission.Tick(At(seconds(6)));
  BOOST_TEST(
      (second.admission.Submit(moving, MakeRequest(2), At(seconds(6))).reason ==
       RefusalReason::kOwnerGuarded));
  second.membership.OnContact(monitor, {}, At(seconds(8)));
  second.admission.Tick(At(seconds(8)));
  // The previous owner's calls count until the engine's report shows that they
  // have ended.
  BOOST_TEST(second.loads.LoadOf(moving) >= 1u);
  second.admission.OnEndpointReport(moving, kWarmReport, At(seconds(8)));
  BOOST_TEST(second.loads.LoadOf(moving) == 0u);
}

BOOST_AUTO_TEST_CASE(and_a_node_without_contact_to_its_peers_admits_nothing) {
  IntroduceBoth(seconds(5));
  const std::string& other = moving == "engine-1" ? "engine-2" : "engine-1";
  const auto refused =
      first.admission.Submit(other, MakeRequest(9), At(seconds(20)));
  BOOST_TEST((refused.verdict == AdmissionVerdict::kRefused));
  BOOST_TEST((refused.reason == RefusalReason::kOwnerGuarded ||
              refused.reason == RefusalReason::kNotOwner));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
