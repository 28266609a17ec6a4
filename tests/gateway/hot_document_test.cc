#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/endpoints/endpoint_selector.h"
#include "libteaselthread/endpoints/part_demand.h"
#include "libteaselthread/peers/peer_set.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;
using test::MakeEngineRecord;
using test::MakeRoutes;

constexpr const char* kZones[] = {"a", "b", "c"};
constexpr size_t kZoneCount = 3;
constexpr Duration kHotFrom = seconds(10);
constexpr int kSlowFactor = 6;
constexpr Duration kNewsInterval = milliseconds(400);
constexpr size_t kNewsItems = 16;

// A kind of chat: how many there are, about what, and how long answers take.
struct ChatClass {
  double per_second;
  int documents;
  uint32_t document_tokens;
  Duration answer;
  double hot_share = 0;  // of the requests, on the first document, in time
};

struct FleetShape {
  size_t gateways;
  size_t engines;
  std::vector<ChatClass> classes;
  size_t slow_engines = 0;
};

// Of requests within five seconds, how many came to an engine above the
// operators' bound of 2 x mean + 3.
struct WindowCount {
  int requests = 0;
  int over = 0;
  int reads = 0;  // of a document by an engine that has not had it
};

// Gateways and engines in virtual time. Gateways learn of the load by answers
// and by what they send each other: sums, and news of the busiest engines.
class SimulatedFleet {
 public:
  SimulatedFleet(const FleetShape& shape, uint64_t seed)
      : shape_(shape),
        random_(seed),
        routes_(MakeRoutes()),
        engine_loads_(shape.engines, 0) {
    for (size_t i = 0; i < shape.gateways; ++i)
      gateways_.push_back(MakeGateway(i));
  }

  std::vector<WindowCount> Run(Duration length) {
    for (size_t i = 0; i < shape_.classes.size(); ++i)
      ScheduleArrival(i);
    Schedule(Duration::zero(), [this] { ShareSums(); });
    Schedule(Duration::zero(), [this] { ShareNews(); });
    while (!events_.empty() && events_.top().at < length) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    return windows_;
  }

 private:
  struct Gateway {
    std::string name;
    std::string zone;
    EndpointTable table;
    PartDemand demand;
    double fleet_requests = 0;
  };
  struct Event {
    Duration at;
    uint64_t order;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  std::unique_ptr<Gateway> MakeGateway(size_t index) const {
    auto gateway = std::make_unique<Gateway>();
    gateway->name = "gateway-" + std::to_string(index);
    gateway->zone = kZones[index % kZoneCount];
    gateway->table.SetServices(routes_);
    for (size_t i = 0; i < shape_.engines; ++i) {
      gateway->table.Put(
          MakeEngineRecord(std::to_string(i), kZones[i % kZoneCount]),
          At(seconds(-30)));
    }
    return gateway;
  }

  void Schedule(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, ++order_, std::move(action)});
  }

  void ScheduleArrival(size_t chat_class) {
    std::exponential_distribution<double> gap(
        shape_.classes[chat_class].per_second);
    Schedule(Duration(static_cast<int64_t>(gap(random_) * 1e6)),
             [this, chat_class] {
               Serve(chat_class);
               ScheduleArrival(chat_class);
             });
  }

  std::vector<PromptPart> DrawPrompt(size_t chat_class) {
    const ChatClass& chats = shape_.classes[chat_class];
    const bool is_hot = std::bernoulli_distribution(chats.hot_share)(random_);
    const int document =
        is_hot && now_ >= kHotFrom
            ? 0
            : std::uniform_int_distribution<>(0, chats.documents - 1)(random_);
    const std::string name = std::to_string(chat_class);
    return {{"system-" + name, 300},
            {name + "-" + std::to_string(document), chats.document_tokens},
            {"own-" + std::to_string(++order_), 400}};
  }

  void Serve(size_t chat_class) {
    Gateway& gateway = *gateways_[std::uniform_int_distribution<size_t>(
        0, gateways_.size() - 1)(random_)];
    const Timestamp now = At(now_);
    SelectionQuery query;
    query.service = routes_.FindService("pool");
    query.prompt = DrawPrompt(chat_class);
    query.home_share =
        gateway.demand.ShareOf("pool", HomePart(query.prompt).id, now);
    SelectionView view;
    view.zone = gateway.zone;
    view.node = gateway.name;
    view.nodes = {gateway.name};
    view.service_requests = gateway.fleet_requests;
    const EndpointSelector selector(&gateway.table);
    const SelectionResult result = selector.Select(query, view, now);
    const EndpointPtr engine = std::get<Selection>(result).endpoint;
    const std::string part = HomePart(query.prompt).id;
    gateway.demand.OnStart("pool", part, now);
    engine->OnSend(now);
    const size_t index = std::stoul(engine->record().id);
    Count(index, part);
    ++engine_loads_[index];
    ++total_load_;
    const int slowness = index < shape_.slow_engines ? kSlowFactor : 1;
    const Duration answer = shape_.classes[chat_class].answer * slowness;
    const Duration first_event =
        std::min<Duration>(milliseconds(300) * slowness, answer);
    Schedule(first_event, [this, engine, index] {
      engine->OnReport({engine_loads_[index], 0}, At(now_));
    });
    Schedule(answer, [this, &gateway, engine, index, part] {
      gateway.demand.OnEnd("pool", part, At(now_));
      engine->OnEnd();
      --engine_loads_[index];
      --total_load_;
    });
  }

  void Count(size_t engine, const std::string& part) {
    const size_t window = static_cast<size_t>(now_ / seconds(5));
    windows_.resize(std::max(windows_.size(), window + 1));
    const double mean =
        static_cast<double>(total_load_) / static_cast<double>(shape_.engines);
    ++windows_[window].requests;
    if (engine_loads_[engine] > 2 * mean + 3)
      ++windows_[window].over;
    if (documents_read_.emplace(engine, part).second)
      ++windows_[window].reads;
  }

  // Heartbeats within a zone bring sums more often than those between zones.
  void ShareSums() {
    for (const auto& gateway : gateways_)
      gateway->fleet_requests = static_cast<double>(total_load_);
    Schedule(milliseconds(1'600), [this] { ShareSums(); });
  }

  // Each gateway tells a few others, most of them in its own zone.
  void ShareNews() {
    for (size_t from = 0; from < gateways_.size(); ++from) {
      const std::vector<LoadNews> news =
          gateways_[from]->table.BusiestEndpoints(kNewsItems, At(now_));
      for (size_t i = 0; i < PeerSet::kNewsTargets; ++i) {
        const size_t to = std::uniform_int_distribution<size_t>(
            0, gateways_.size() - 1)(random_);
        const bool reaches = gateways_[from]->zone == gateways_[to]->zone ||
                             random_() % PeerSet::kBeatsPerRemoteBeat == 0;
        for (const LoadNews& item : news) {
          if (reaches && from != to)
            gateways_[to]->table.OnLoadNews(item, At(now_));
        }
      }
    }
    Schedule(kNewsInterval, [this] { ShareNews(); });
  }

  FleetShape shape_;
  std::mt19937_64 random_;
  RouteTable routes_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<uint32_t> engine_loads_;
  uint32_t total_load_ = 0;
  std::set<std::pair<size_t, std::string>> documents_read_;
  std::priority_queue<Event> events_;
  std::vector<WindowCount> windows_;
  Duration now_{};
  uint64_t order_ = 0;
};

// Reviews of long documents, summaries of short ones, and flags.
FleetShape LargeFleet(double hot_share, size_t slow_engines = 0) {
  return {58,
          140,
          {{155, 526, 10'000, milliseconds(1'500), hot_share},
           {199, 300, 580, milliseconds(1'150)},
           {247, 840, 1'700, milliseconds(100)}},
          slow_engines};
}

void CheckLoadBound(const FleetShape& shape) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const std::vector<WindowCount> windows =
        SimulatedFleet(shape, seed).Run(seconds(30));
    for (const WindowCount& window : windows) {
      BOOST_TEST_INFO("seed " << seed << ", " << window.over << " of "
                              << window.requests);
      BOOST_TEST(window.over <= 0.03 * window.requests);
    }
  }
}

BOOST_AUTO_TEST_SUITE(many_gateways_that_each_see_few_requests)

BOOST_AUTO_TEST_CASE(keep_to_the_load_bound_on_a_calm_day) {
  CheckLoadBound(LargeFleet(0));
}

// Replays a day on which half of the reviews were of one document.
BOOST_AUTO_TEST_CASE(keep_to_the_load_bound_with_a_hot_document) {
  CheckLoadBound(LargeFleet(0.5));
}

// Replays a day on which a few engines answered slowly and filled up, while
// each gateway sent them a request every few seconds.
BOOST_AUTO_TEST_CASE(keep_to_the_load_bound_with_slow_engines) {
  CheckLoadBound(LargeFleet(0, 10));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
