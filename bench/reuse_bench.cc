// Measures cache reuse and load skew of the router in virtual time, while
// engines leave and return with an empty cache. Compares it with a naive
// least-loaded baseline and an oracle that sees every cache. Prints one line
// per figure: name value unit.
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
constexpr size_t kCacheChats = 400;  // cache capacity of one engine, in chats
constexpr int kArrivalsPerSecond = 24;
constexpr int kTurnDurationMs = 3'000;
constexpr int kSeconds = 900;
constexpr int kChurnEverySeconds = 30;
constexpr int kOutageSeconds = 15;

// LRU cache of the chats whose context an engine holds.
class PrefixCache {
 public:
  bool Contains(int chat) const { return positions_.contains(chat); }
  void Use(int chat) {
    if (auto found = positions_.find(chat); found != positions_.end())
      lru_order_.erase(found->second);
    lru_order_.push_back(chat);
    positions_[chat] = std::prev(lru_order_.end());
    if (lru_order_.size() <= kCacheChats)
      return;
    positions_.erase(lru_order_.front());
    lru_order_.pop_front();
  }
  void Clear() {
    lru_order_.clear();
    positions_.clear();
  }

 private:
  std::list<int> lru_order_;  // least recently used first
  std::unordered_map<int, std::list<int>::iterator> positions_;
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
        EndFinishedTurns();
        OnArrival(static_cast<int>(random_() % kChats));
      }
      SampleSkew();
    }
    std::cout << name << "_reuse "
              << 100.0 * cache_hits_ / static_cast<double>(returning_turns_)
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

  // Takes one engine at a time out; it returns with an empty cache.
  void Churn(int second) {
    if (second % kChurnEverySeconds == kOutageSeconds) {
      removed_engine_ = static_cast<int>(random_() % kEngines);
      engines_[removed_engine_].cache.Clear();
      Configure("[fleet]\nvms_out = " + engines_[removed_engine_].name + "\n");
    } else if (second % kChurnEverySeconds == 0) {
      removed_engine_ = -1;
      Configure("");
    }
  }
  void Configure(const std::string& fleet_section) {
    configuration_.UpdateIfNewer(++version_, document_ + fleet_section);
  }

  void OnArrival(int chat) {
    const int chosen = ChooseEngine(chat);
    if (chosen < 0)
      return;
    Engine& engine = engines_[chosen];
    if (last_engine_.contains(chat)) {
      ++returning_turns_;
      cache_hits_ += engine.cache.Contains(chat) ? 1 : 0;
    }
    engine.cache.Use(chat);
    last_engine_[chat] = chosen;
    ++engine.load;
    MergeLoad(engine);
    running_.emplace(now_ + milliseconds(kTurnDurationMs), chosen);
  }

  int ChooseEngine(int chat) {
    if (policy_ == Policy::kRouter)
      return ChooseByRouter(chat);
    if (policy_ == Policy::kOracle) {
      const int caching_engine = FindCachingEngine(chat);
      if (caching_engine >= 0)
        return caching_engine;
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

  int FindCachingEngine(int chat) const {
    for (int i = 0; i < kEngines; ++i) {
      if (i != removed_engine_ && engines_[i].cache.Contains(chat) &&
          HasRoom(i))
        return i;
    }
    return -1;
  }

  int LeastLoaded() const {
    int best = -1;
    for (int i = 0; i < kEngines; ++i) {
      if (i != removed_engine_ &&
          (best < 0 || engines_[i].load < engines_[best].load))
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

  void EndFinishedTurns() {
    while (!running_.empty() && running_.begin()->first <= now_) {
      Engine& engine = engines_[running_.begin()->second];
      running_.erase(running_.begin());
      --engine.load;
    }
    for (const Engine& engine : engines_)
      MergeLoad(engine);
  }
  void MergeLoad(const Engine& engine) {
    loads_.Merge({engine.name, "entry-1", engine.load,
                  EndpointTemperature::kWarm, ++sequence_},
                 now_);
  }

  void SampleSkew() {
    uint32_t max_load = 0;
    uint32_t total_load = 0;
    for (const Engine& engine : engines_) {
      max_load = std::max(max_load, engine.load);
      total_load += engine.load;
    }
    if (total_load == 0)
      return;
    skew_sum_ += max_load * static_cast<double>(kEngines) / total_load;
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
  int removed_engine_ = -1;
  std::map<int, int> last_engine_;
  std::multimap<Timestamp, int> running_;
  uint64_t returning_turns_ = 0;
  uint64_t cache_hits_ = 0;
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
