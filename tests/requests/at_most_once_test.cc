#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "libteaselthread/requests/idempotency_table.h"
#include "libteaselthread/requests/routed_request.h"
#include "support/fake_fleet.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;
using test::FakeNode;

constexpr int kNodes = 3;
constexpr int kKeys = 12;
constexpr int kAttemptsPerKey = 4;
constexpr WallSeconds kWall(1'000'000);
constexpr Duration kCallDeadline = seconds(5);
constexpr uint64_t kSeeds = 1'000;

enum class ReportedOutcome { kAnswered, kNotRun, kUnknown };

// Which node decides whether the call of a key runs: the key's home node, or,
// in the naive version, every node to which a caller sends the key.
enum class Design { kHomePerKey, kNaive };

// Simulates callers, nodes and one service in virtual time. Messages are
// delayed or lost, nodes freeze and are replaced, and callers retry at other
// nodes.
class Simulation {
 public:
  Simulation(uint64_t seed, Design design) : random_(seed), design_(design) {
    for (int i = 0; i < kNodes; ++i)
      Replace(i);
  }

  void Run() {
    for (int key = 0; key < kKeys; ++key) {
      const std::string text =
          Ticket(homes_[Pick(kNodes)]->self, kWall, 1).ToString() + "-" +
          std::to_string(key);
      for (int attempt = 0; attempt < kAttemptsPerKey; ++attempt)
        After(milliseconds(Pick(15'000)), [=, this] { Send(text); });
    }
    for (int i = 0; i < 3; ++i) {
      After(milliseconds(Pick(15'000)), [this] { Replace(Pick(kNodes)); });
      After(milliseconds(Pick(15'000)), [this] { Freeze(Pick(kNodes)); });
    }
    while (!events_.empty()) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
  }

  int most_runs() const {
    int most = 0;
    for (const auto& [key, runs] : runs_)
      most = std::max(most, runs);
    return most;
  }
  int false_refusals() const { return false_refusals_; }
  int false_answers() const { return false_answers_; }
  int answered() const { return answered_; }

 private:
  struct SimulatedNode {
    explicit SimulatedNode(Incarnation incarnation)
        : self(incarnation),
          table(incarnation,
                {1'000, 1'000'000, seconds(600), WallSeconds(3'600)}),
          node(test::MakeMember(1, "a"),
               {test::MakeService("desk-1", "a"),
                test::MakeService("desk-2", "a")}) {}
    Incarnation self;
    IdempotencyTable table;
    FakeNode node;
    RetryBudget budget;
    Timestamp frozen_until{};
  };
  using NodePtr = std::shared_ptr<SimulatedNode>;
  struct Call {
    NodePtr home;
    std::string key;
    RoutedRequest routed;
  };
  using CallPtr = std::shared_ptr<Call>;

  int Pick(int count) { return static_cast<int>(random_() % count); }
  bool Chance(int percent) { return Pick(100) < percent; }
  void After(Duration delay, std::function<void()> action) {
    events_.emplace(now_ + delay, std::move(action));
  }
  // Runs the action at a node as soon as the node is not frozen, unless it has
  // been replaced by then.
  void AtNode(const NodePtr& home, std::function<void()> action) {
    const Duration transit = milliseconds(1 + Pick(20));
    const Duration thaw = std::max(Duration(0), home->frozen_until - now_);
    After(transit + thaw, [=, this] {
      if (IsAlive(home))
        action();
    });
  }
  bool IsAlive(const NodePtr& home) const {
    return std::find(homes_.begin(), homes_.end(), home) != homes_.end();
  }
  void Replace(int index) {
    homes_[index] =
        std::make_shared<SimulatedNode>(Incarnation(++last_incarnation_));
  }
  void Freeze(int index) {
    homes_[index]->frozen_until = now_ + seconds(1 + Pick(9));
  }

  // Sends a caller's request to a random node, which forwards it to the key's
  // home node.
  void Send(const std::string& key) {
    NodePtr home = homes_[Pick(kNodes)];
    if (design_ == Design::kHomePerKey) {
      const Incarnation named = Ticket::ParseKey(key)->home();
      for (const NodePtr& candidate : homes_) {
        if (candidate->self == named)
          home = candidate;
      }
      if (home->self != named)
        return Report(key, ReportedOutcome::kUnknown);
    }
    AtNode(home, [=, this] { Begin(home, key); });
  }

  void Begin(const NodePtr& home, const std::string& key) {
    std::string home_key = key;
    if (design_ == Design::kNaive)
      home_key = Ticket(home->self, kWall, 1).ToString() + "-" + key;
    const KeyDecision decision =
        home->table.Begin("customer", home_key, 1, kWall, now_);
    switch (decision.verdict) {
      case KeyVerdict::kRun:
        return Start(home, home_key, key);
      case KeyVerdict::kReplay:
        return Report(key, ReportedOutcome::kAnswered);
      case KeyVerdict::kRefused:
        return Report(key, ReportedOutcome::kNotRun);
      default:
        return Report(key, ReportedOutcome::kUnknown);
    }
  }

  void Start(const NodePtr& home,
             const std::string& home_key,
             const std::string& key) {
    const auto call = std::make_shared<Call>(
        Call{home, home_key,
             RoutedRequest(&home->node.router, &home->budget,
                           {EndpointKind::kService, "desk", key, "", {}, {}},
                           /*repeatable=*/false)});
    After(kCallDeadline, [=, this] {
      AtNode(home, [=, this] {
        PerformActions(call, key, call->routed.OnDeadline());
      });
    });
    PerformActions(call, key, call->routed.Start(now_));
  }

  // Simulates one attempt, including delays and losses on the way to the
  // service and back.
  void Attempt(const CallPtr& call, const std::string& key) {
    const auto back = [=, this](auto event) {
      AtNode(call->home,
             [=, this] { PerformActions(call, key, event(call->routed)); });
    };
    if (Chance(20)) {
      return back([this](RoutedRequest& routed) {
        return routed.OnNotRun({RefusalReason::kEndpointBusy, seconds(1)},
                               now_);
      });
    }
    // A frozen owner may send the call long after the home node has abandoned
    // it.
    const Duration delay = Chance(20) ? seconds(8) : milliseconds(5);
    After(delay, [=, this] {
      ++runs_[key];
      if (Chance(20)) {
        return back([this](RoutedRequest& routed) {
          return routed.OnLost(UnknownReason::kConnectionLost, now_);
        });
      }
      if (Chance(10))
        return;  // the response is lost
      back([this](RoutedRequest& routed) {
        routed.OnHead(200, "text/plain", now_);
        routed.OnData("done");
        return routed.OnEnd(4, now_);
      });
    });
  }

  void PerformActions(const CallPtr& call,
                      const std::string& key,
                      const RouteActions& actions) {
    for (const RouteAction& action : actions) {
      if (std::holds_alternative<ForwardCall>(action))
        Attempt(call, key);
      if (const auto* finish = std::get_if<FinishCall>(&action))
        Finish(call, key, finish->outcome);
    }
  }

  void Finish(const CallPtr& call,
              const std::string& key,
              const Outcome& outcome) {
    IdempotencyTable& table = call->home->table;
    if (const MayHaveRun* unknown = outcome.may_have_run()) {
      table.MarkUnknown("customer", call->key, unknown->reason);
      Report(key, ReportedOutcome::kUnknown);
    } else if (outcome.refused()) {
      table.Withdraw("customer", call->key);
      Report(key, ReportedOutcome::kNotRun);
    } else {
      table.Complete("customer", call->key, {200, "", "done"}, now_);
      Report(key, ReportedOutcome::kAnswered);
    }
  }

  void Report(const std::string& key, ReportedOutcome reported) {
    const int runs = runs_[key];
    answered_ += reported == ReportedOutcome::kAnswered ? 1 : 0;
    false_refusals_ += reported == ReportedOutcome::kNotRun && runs > 0 ? 1 : 0;
    false_answers_ +=
        reported == ReportedOutcome::kAnswered && runs == 0 ? 1 : 0;
  }

  std::mt19937_64 random_;
  Design design_;
  Timestamp now_ = At(seconds(0));
  uint64_t last_incarnation_ = 0;
  std::array<NodePtr, kNodes> homes_;
  std::multimap<Timestamp, std::function<void()>> events_;
  std::map<std::string, int> runs_;
  int answered_ = 0;
  int false_refusals_ = 0;
  int false_answers_ = 0;
};

BOOST_AUTO_TEST_SUITE(orders_under_random_schedules)

BOOST_AUTO_TEST_CASE(run_at_most_once_and_are_never_wrongly_reported) {
  int answered = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, Design::kHomePerKey);
    simulation.Run();
    BOOST_REQUIRE_MESSAGE(simulation.most_runs() <= 1,
                          "a key ran more than once, seed " << seed);
    BOOST_REQUIRE_MESSAGE(
        simulation.false_refusals() == 0,
        "reported as not run after it had run, seed " << seed);
    BOOST_REQUIRE_MESSAGE(
        simulation.false_answers() == 0,
        "reported as answered without having run, seed " << seed);
    answered += simulation.answered();
  }
  // The schedules must also contain calls that succeed.
  BOOST_TEST(answered > static_cast<int>(kSeeds));
}

BOOST_AUTO_TEST_CASE(run_twice_without_a_single_home_node) {
  int simulations_with_a_second_run = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, Design::kNaive);
    simulation.Run();
    simulations_with_a_second_run += simulation.most_runs() > 1 ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("naive version: a key ran twice in "
                     << simulations_with_a_second_run << " of " << kSeeds);
  BOOST_TEST(simulations_with_a_second_run > static_cast<int>(kSeeds) / 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
