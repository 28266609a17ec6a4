// Cache reuse and load skew of the router in virtual time, through engines
// that leave and return with an empty cache, against a naive version (least
// loaded) and an oracle that sees every cache. One line per figure.
#include <algorithm>
#include <iostream>
#include <list>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "libteaselthread/router.h"

namespace teaselthread::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEngines = 12;
constexpr int kChats = 3'000;
constexpr size_t kCacheChats = 400;  // contexts that one engine keeps
constexpr int kArrivalsPerSecond = 24;
constexpr int kTurnMilliseconds = 3'000;
constexpr int kSeconds = 900;
constexpr int kChurnEverySeconds = 30;
constexpr int kAwaySeconds = 15;

// The contexts that an engine holds, least recently used first.
class PrefixCache {
 public:
  bool Contains(int chat) const { return places_.contains(chat); }
  void Use(int chat) {
    if (auto found = places_.find(chat); found != places_.end())
      order_.erase(found->second);
    order_.push_back(chat);
    places_[chat] = std::prev(order_.end());
    if (order_.size() <= kCacheChats)
      return;
    places_.erase(order_.front());
    order_.pop_front();
  }
  void Clear() {
    order_.clear();
    places_.clear();
  }

 private:
  std::list<int> order_;
  std::unordered_map<int, std::list<int>::iterator> places_;
};

struct Engine {
  std::string name;
  PrefixCache cache;
  uint32_t load = 0;
};

enum class Policy { kRouter, kLeastLoaded, kOracle };

class Simulation {
 public:
  Simulation(Policy policy, const std::string& load_multiple)
      : policy_(policy),
        document_("[profile chat]\n[model m]\nslots = 64\nload_multiple = " +
                  load_multiple + "\n"),
        membership_(MakeSelf(), {}, {seconds(3), milliseconds(2'500)}, 1),
        fleet_{&membership_, &configuration_, &directory_, &loads_},
        router_(fleet_) {
    configuration_.UpdateIfNewer(++version_, document_);
    std::vector<Endpoint> endpoints;
    for (int i = 0; i < kEngines; ++i) {
      engines_.push_back({"engine-" + std::to_string(i), {}, 0});
      endpoints.push_back({engines_.back().name,
                           "a",
                           {"10.0.0.1", 9000},
                           EndpointKind::kModelEngine,
                           {"m"},
                           false});
    }
    directory_.Replace(1, std::move(endpoints));
  }

  void Run(const std::string& name) {
    for (int second = 0; second < kSeconds; ++second) {
      Churn(second);
      for (int i = 0; i < kArrivalsPerSecond; ++i) {
        now_ += milliseconds(1'000 / kArrivalsPerSecond);
        EndTurns();
        Arrive(static_cast<int>(random_() % kChats));
      }
      SampleSkew();
    }
    std::cout << name << "_reuse "
              << 100.0 * hits_ / static_cast<double>(returns_)
              << " %_of_returning_turns\n"
              << name << "_peak_load_over_mean "
              << skew_sum_ / static_cast<double>(skew_samples_)
              << " ratio_mean_of_seconds" << std::endl;
  }

 private:
  static Member MakeSelf() {
    Member self;
    self.name = "entry-1";
    self.zone = "a";
    return self;
  }

  // One engine at a time leaves, and returns with an empty cache.
  void Churn(int second) {
    if (second % kChurnEverySeconds == kAwaySeconds) {
      away_ = static_cast<int>(random_() % kEngines);
      engines_[away_].cache.Clear();
      Configure("[fleet]\nvms_out = " + engines_[away_].name + "\n");
    } else if (second % kChurnEverySeconds == 0) {
      away_ = -1;
      Configure("");
    }
  }
  void Configure(const std::string& fleet_section) {
    configuration_.UpdateIfNewer(++version_, document_ + fleet_section);
  }

  void Arrive(int chat) {
    const int chosen = Choose(chat);
    if (chosen < 0)
      return;
    Engine& engine = engines_[chosen];
    if (last_engine_.contains(chat)) {
      ++returns_;
      hits_ += engine.cache.Contains(chat) ? 1 : 0;
    }
    engine.cache.Use(chat);
    last_engine_[chat] = chosen;
    ++engine.load;
    Publish(engine);
    running_.emplace(now_ + milliseconds(kTurnMilliseconds), chosen);
  }

  int Choose(int chat) {
    if (policy_ == Policy::kRouter)
      return ChooseByRouter(chat);
    if (policy_ == Policy::kOracle) {
      const int holder = FindHolder(chat);
      if (holder >= 0)
        return holder;
    }
    return LeastLoaded();
  }

  int ChooseByRouter(int chat) {
    PlacementQuery query{EndpointKind::kModelEngine,
                         "m",
                         "c/" + std::to_string(chat),
                         "",
                         {},
                         {}};
    const auto last = last_engine_.find(chat);
    if (last != last_engine_.end())
      query.hint = engines_[last->second].name;
    for (int attempt = 0; attempt < kEngines; ++attempt) {
      const auto placed = router_.Place(query, now_);
      const auto* placement = std::get_if<Placement>(&placed);
      if (!placement)
        return -1;
      const int index = IndexOf(placement->endpoint);
      if (HasRoom(index))
        return index;
      query.busy.insert(placement->endpoint);
    }
    return LeastLoaded();
  }

  int FindHolder(int chat) const {
    for (int i = 0; i < kEngines; ++i) {
      if (i != away_ && engines_[i].cache.Contains(chat) && HasRoom(i))
        return i;
    }
    return -1;
  }

  int LeastLoaded() const {
    int best = -1;
    for (int i = 0; i < kEngines; ++i) {
      if (i != away_ && (best < 0 || engines_[i].load < engines_[best].load))
        best = i;
    }
    return best;
  }

  bool HasRoom(int index) const {
    const Endpoint& endpoint = *directory_.Find(engines_[index].name);
    const EndpointPolicy& policy = *fleet_.PolicyOf(endpoint);
    return static_cast<int>(engines_[index].load) <
           fleet_.LoadBoundOf(endpoint, policy, now_);
  }

  int IndexOf(const std::string& name) const {
    for (int i = 0; i < kEngines; ++i) {
      if (engines_[i].name == name)
        return i;
    }
    return -1;
  }

  void EndTurns() {
    while (!running_.empty() && running_.begin()->first <= now_) {
      Engine& engine = engines_[running_.begin()->second];
      running_.erase(running_.begin());
      --engine.load;
    }
    for (const Engine& engine : engines_)
      Publish(engine);
  }
  void Publish(const Engine& engine) {
    loads_.Merge({engine.name, "entry-1", engine.load,
                  EndpointTemperature::kWarm, ++sequence_},
                 now_);
  }

  void SampleSkew() {
    uint32_t most = 0;
    uint32_t total = 0;
    for (const Engine& engine : engines_) {
      most = std::max(most, engine.load);
      total += engine.load;
    }
    if (total == 0)
      return;
    skew_sum_ += most * static_cast<double>(kEngines) / total;
    ++skew_samples_;
  }

  Policy policy_;
  std::string document_;
  std::mt19937_64 random_{7};
  Timestamp now_{seconds(1'000)};
  Membership membership_;
  ConfigurationHolder configuration_;
  EndpointDirectory directory_;
  LoadTable loads_;
  FleetView fleet_;
  Router router_;
  uint64_t version_ = 0;
  uint64_t sequence_ = 0;
  std::vector<Engine> engines_;
  int away_ = -1;
  std::map<int, int> last_engine_;
  std::multimap<Timestamp, int> running_;
  uint64_t returns_ = 0;
  uint64_t hits_ = 0;
  double skew_sum_ = 0;
  uint64_t skew_samples_ = 0;
};

}  // namespace

void Run() {
  Simulation(Policy::kLeastLoaded, "1.5").Run("naive_least_loaded");
  for (const char* multiple : {"1.5", "2.0", "3.0"}) {
    const std::string suffix = std::string("_at_multiple_") + multiple;
    Simulation(Policy::kRouter, multiple).Run("router" + suffix);
    Simulation(Policy::kOracle, multiple).Run("oracle" + suffix);
  }
}

}  // namespace teaselthread::bench

int main() {
  teaselthread::bench::Run();
  return 0;
}
