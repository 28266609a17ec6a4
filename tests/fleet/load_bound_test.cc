#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <random>

#include "support/fake_net.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::FakeNet;

constexpr int kNodes = 6;
constexpr int kEngines = 8;
constexpr double kMultiple = 1.5;
constexpr uint32_t kColdLimit = 1;
constexpr uint64_t kSeedCount = 600;
constexpr Duration kRunDuration = seconds(60);
constexpr Duration kReportLag = seconds(2);

std::vector<Endpoint> MakeEngines() {
  std::vector<Endpoint> engines;
  for (int i = 1; i <= kEngines; ++i) {
    engines.push_back(
        test::MakeEngine("engine-" + std::to_string(i), i % 2 ? "a" : "b"));
  }
  return engines;
}

// Whether requests are admitted by the endpoint's owner or, in the naive
// design, by the node that received them, based on the loads that it knows.
enum class Design { kOwner, kNaive };

// Simulates engines, whose true load the test knows, behind nodes that lose and
// regain contact, under varying traffic, with load reports that are 2 s late.
class LoadedFleet {
 public:
  LoadedFleet(uint64_t seed, Design design)
      : random_(seed),
        design_(design),
        net_(kNodes, {"a", "b"}, MakeEngines()) {
    for (int i = 1; i <= kNodes; ++i) {
      net_[i].Configure(test::DocumentWithModel(
          "slots = 40\nload_multiple = 1.5\nramp_ms = 0\n"));
    }
  }

  void Run() {
    net_.RunFor(seconds(10), [this] { ReportAll(); });
    net_.RunFor(kRunDuration, [this] { Step(); });
  }

  int admitted() const { return admitted_; }
  int over_bound() const { return over_bound_; }
  int over_cold_limit() const { return over_cold_limit_; }
  double worst_ratio() const { return worst_ratio_; }

 private:
  struct Engine {
    uint32_t load = 0;
    bool cold = false;
    Timestamp changed_at{};
  };
  struct Running {
    int owner;
    std::string endpoint;
    CallId id;
  };

  int Pick(int count) { return static_cast<int>(random_() % count); }

  void Step() {
    if (Pick(20) == 0)
      net_.Isolate(1 + Pick(kNodes));
    if (Pick(10) == 0) {
      for (int i = 1; i <= kNodes; ++i)
        net_.Restore(i);
    }
    if (Pick(30) == 0) {
      Engine& engine = engines_["engine-" + std::to_string(1 + Pick(kEngines))];
      engine.cold = !engine.cold;
      engine.changed_at = net_.now();
    }
    ReportAll();
    const int arrivals = Pick(12);
    for (int i = 0; i < arrivals; ++i)
      Arrive();
    while (!running_.empty() && running_.begin()->first <= net_.now())
      EndFirst();
  }

  // Owners learn of a change of temperature after two seconds.
  void ReportAll() {
    for (int i = 1; i <= kNodes; ++i) {
      for (const std::string& name : net_[i].admission.OwnedEndpoints()) {
        const Engine& engine = engines_[name];
        const bool is_known = net_.now() - engine.changed_at >= kReportLag;
        const bool cold = is_known ? engine.cold : !engine.cold;
        net_[i].admission.OnEndpointReport(
            name,
            {engine.load,
             cold ? EndpointTemperature::kCold : EndpointTemperature::kWarm},
            net_.now());
      }
    }
  }

  void Arrive() {
    const int entry = 1 + Pick(kNodes);
    PlacementQuery query{EndpointKind::kModelEngine,
                         "dossier",
                         "chat-" + std::to_string(random_()),
                         "",
                         {},
                         {}};
    for (int attempt = 0; attempt < kEngines; ++attempt) {
      const auto placed = net_[entry].router.Place(query, net_.now());
      const auto* placement = std::get_if<Placement>(&placed);
      if (!placement || placement->max_wait > Duration::zero())
        return;
      const int owner =
          design_ == Design::kOwner ? net_.NumberOf(placement->owner) : entry;
      if (net_.CanReach(entry, owner)) {
        const bool admitted = Admit(owner, placement->endpoint);
        // Every reply of an owner contains the endpoint's load.
        if (const auto* load = net_[owner].loads.Find(placement->endpoint))
          net_[entry].loads.Merge(*load, net_.now());
        if (admitted)
          return;
      }
      query.excluded.insert(placement->endpoint);
    }
  }

  bool Admit(int owner, const std::string& endpoint) {
    const CallId id = ++last_id_;
    if (design_ == Design::kOwner) {
      const AdmissionDecision decision = net_[owner].admission.Submit(
          endpoint, {id, "c", 5, net_.now() + seconds(60), {}}, net_.now());
      if (decision.verdict != AdmissionVerdict::kAdmitted)
        return false;
    }
    Engine& engine = engines_[endpoint];
    ++engine.load;
    ++admitted_;
    CheckBounds(engine);
    running_.emplace(net_.now() + milliseconds(500 + Pick(8'000)),
                     Running{owner, endpoint, id});
    return true;
  }

  // Checks against the true state at this moment, not against a node's view.
  void CheckBounds(const Engine& engine) {
    double total = 0;
    for (const auto& [name, other] : engines_)
      total += other.load;
    const double mean = total / kEngines;
    const double bound = std::max(1.0, std::ceil(kMultiple * mean));
    over_bound_ += engine.load > bound ? 1 : 0;
    worst_ratio_ = std::max(worst_ratio_, engine.load / bound);
    const bool cold_is_known =
        engine.cold && net_.now() - engine.changed_at > kReportLag;
    over_cold_limit_ += cold_is_known && engine.load > kColdLimit ? 1 : 0;
  }

  void EndFirst() {
    const Running call = running_.begin()->second;
    running_.erase(running_.begin());
    --engines_[call.endpoint].load;
    if (design_ == Design::kOwner)
      net_[call.owner].admission.End(call.endpoint, call.id, net_.now());
  }

  std::mt19937_64 random_;
  Design design_;
  FakeNet net_;
  std::map<std::string, Engine> engines_;
  std::multimap<Timestamp, Running> running_;
  CallId last_id_ = 0;
  int admitted_ = 0;
  int over_bound_ = 0;
  int over_cold_limit_ = 0;
  double worst_ratio_ = 0;
};

struct Totals {
  int admitted = 0;
  int over_bound = 0;
  int over_cold_limit = 0;
  double worst_ratio = 0;
};

Totals RunSeeds(Design design) {
  Totals totals;
  for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    LoadedFleet fleet(seed, design);
    fleet.Run();
    totals.admitted += fleet.admitted();
    totals.over_bound += fleet.over_bound();
    totals.over_cold_limit += fleet.over_cold_limit();
    totals.worst_ratio = std::max(totals.worst_ratio, fleet.worst_ratio());
    if (design == Design::kOwner && fleet.over_bound() > 0)
      BOOST_TEST_MESSAGE("seed " << seed << ": over the bound "
                                 << fleet.over_bound());
  }
  BOOST_TEST_MESSAGE("admitted " << totals.admitted << ", over the bound "
                                 << totals.over_bound << ", worst "
                                 << totals.worst_ratio
                                 << " of the bound, over the cold limit "
                                 << totals.over_cold_limit);
  return totals;
}

BOOST_AUTO_TEST_SUITE(engines_are_not_overloaded)

BOOST_AUTO_TEST_CASE(while_nodes_have_different_views_and_engines_turn_cold) {
  const Totals totals = RunSeeds(Design::kOwner);
  BOOST_TEST(totals.admitted > 10'000);
  BOOST_TEST(totals.over_cold_limit == 0);
  BOOST_TEST(totals.over_bound == 0);
}

BOOST_AUTO_TEST_CASE(but_are_when_every_node_admits_by_its_own_view) {
  const Totals totals = RunSeeds(Design::kNaive);
  BOOST_TEST(totals.over_bound > 0);
  BOOST_TEST(totals.over_cold_limit > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
