#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <random>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/emulator/virtual_clock.h"
#include "libteaselthread/endpoints/endpoint_selector.h"
#include "libteaselthread/endpoints/prompt_part_demand.h"

namespace teaselthread {
namespace {

using emulator::VirtualClock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kEngines = 9;
constexpr uint64_t kCapacity = 446'121;
constexpr auto kLength = seconds(60);

// The tokens and requests that one engine in fact holds.
struct EngineMemory {
  uint64_t own = 0;
  std::map<std::string, uint32_t> parts;  // requests by shared part
  uint32_t requests = 0;

  uint64_t Held() const { return own + parts.size() * 10'512; }
};

struct EngineGateway {
  EngineGateway() : selector(&table) {}
  std::string name;
  std::string zone;
  EndpointTable table;
  EndpointSelector selector;
  PromptPartDemand demand;
};

struct FleetResult {
  uint64_t most_held = 0;
  double mean_held = 0;
  uint64_t sent[2] = {};  // by priority: chats and long advice
  uint64_t refused[2] = {};
  // Refused while under half of the slots of all engines were taken.
  uint64_t refused_early = 0;
};

// Long advice meets short chats at nine engines. Callers ask random gateways,
// and counts reach others by heartbeats that are sent twice a second.
class FullEngines {
 public:
  FullEngines(size_t gateways, bool limits_tokens, double advice_per_second)
      : limits_tokens_(limits_tokens),
        advice_per_second_(advice_per_second),
        routes_(test::MakeRoutes()) {
    for (size_t i = 0; i < gateways; ++i) {
      names_.push_back("node-" + std::to_string(1'000 + i));
      gateways_.push_back(std::make_unique<EngineGateway>());
      EngineGateway& gateway = *gateways_.back();
      gateway.name = names_.back();
      gateway.zone = kZones[i % 3];
      gateway.table.SetServices(routes_);
      std::vector<EndpointRecord> records;
      for (size_t e = 0; e < kEngines; ++e) {
        records.push_back(test::MakeEngineRecord("engine-" + std::to_string(e),
                                                 kZones[e % 3]));
      }
      gateway.table.ReplaceAll(records, clock_.now());
    }
    SendHeartbeats();
    NextRequest(0, 60);
    NextRequest(1, advice_per_second_);
    Observe();
  }

  FleetResult Run() {
    clock_.RunUntil(clock_.now() + kLength);
    return result_;
  }

 private:
  static constexpr const char* kZones[] = {"a", "b", "c"};

  double Uniform() {
    return static_cast<double>(random_() >> 11) / 9007199254740992.0;
  }
  size_t Index(size_t size) { return random_() % size; }
  static Duration Seconds(double time) {
    return Duration(static_cast<Duration::rep>(time * 1'000'000));
  }

  void SendHeartbeats() {
    ++heartbeats_;
    for (size_t from = 0; from < gateways_.size(); ++from) {
      clock_.Schedule(Seconds(0.5 * Uniform()),
                      [this, from] { SendHeartbeat(from); });
    }
    clock_.Schedule(milliseconds(500), [this] { SendHeartbeats(); });
  }
  void SendHeartbeat(size_t from) {
    const auto updates =
        gateways_[from]->table.BusiestEndpoints(16, clock_.now());
    const bool to_other_zones = (heartbeats_ + from) % 4 == 0;
    for (size_t zone = 0; zone < 3; ++zone) {
      const size_t targets = zone == 0 ? 6 : to_other_zones ? 4 : 0;
      for (size_t i = 0; i < targets; ++i) {
        const size_t to = Index(gateways_.size() / 3) * 3 + (from + zone) % 3;
        for (const LoadUpdate& update : updates)
          gateways_[to]->table.OnLoadUpdate(update, clock_.now());
      }
    }
  }

  void NextRequest(int kind, double per_second) {
    Send(kind);
    clock_.Schedule(
        Seconds(-std::log(1 - Uniform()) / per_second),
        [this, kind, per_second] { NextRequest(kind, per_second); });
  }

  // Kind 0: a short chat of the most urgent priority. Kind 1: advice of 12,000
  // tokens, 10,512 of which are one of 400 shared parts, of the least urgent.
  std::vector<PromptPart> MakePrompt(int kind) {
    const PromptPart own{"own-" + std::to_string(random_()),
                         kind == 0 ? 300u : 1'488u};
    if (kind == 0)
      return {own};
    const auto part = static_cast<size_t>(400 * Uniform());
    return {{"part-" + std::to_string(part), 10'512}, own};
  }

  void Send(int kind) {
    EngineGateway& gateway = *gateways_[Index(gateways_.size())];
    SelectionQuery query;
    query.service = routes_.FindService("pool");
    query.prompt = MakePrompt(kind);
    query.tokens = EstimateTokens(query.prompt, TokenUsage{0, 400}, {});
    query.priority = kind == 0 ? 0 : 2;
    if (limits_tokens_)
      query.token_mix = &gateway.table.TokenMixOf("pool");
    const std::string part = AffinityPart(query.prompt).id;
    query.affinity_share = gateway.demand.ShareOf("pool", part, clock_.now());
    SelectionContext context;
    context.zone = gateway.zone;
    context.node = gateway.name;
    context.nodes = names_;
    context.service_requests = Requests();
    const SelectionResult result =
        gateway.selector.Select(query, context, clock_.now());
    const auto* selection = std::get_if<Selection>(&result);
    if (!selection) {
      ++result_.refused[kind];
      const bool is_early = Requests() < 64.0 * kEngines / 2;
      const bool fits = std::any_of(
          engines_.begin(), engines_.end(), [](const EngineMemory& engine) {
            return engine.Held() + 12'400 <= kCapacity * 7 / 10;
          });
      result_.refused_early += is_early && fits ? 1 : 0;
      return;
    }
    ++result_.sent[kind];
    Start(gateway, *selection, kind, part);
  }

  void Start(EngineGateway& gateway,
             const Selection& selection,
             int kind,
             const std::string& part) {
    const EndpointPtr state = selection.endpoint;
    const RequestTokens tokens = selection.tokens;
    const size_t index = std::stoul(state->record().id.substr(7));
    EngineMemory& engine = engines_[index];
    state->OnSend(clock_.now());
    state->tokens().OnSend(tokens, clock_.now());
    gateway.table.TokenMixOf("pool").OnSend(tokens, clock_.now());
    gateway.demand.OnStart("pool", part, clock_.now());
    engine.own += tokens.own;
    ++engine.requests;
    for (const PromptPart& shared : tokens.shared)
      ++engine.parts[shared.id];
    result_.most_held = std::max(result_.most_held, engine.Held());
    clock_.Schedule(milliseconds(400), [=, this] {
      state->OnReport({engines_[index].requests, 0}, clock_.now());
    });
    const double length = (kind == 0 ? 2 : 6) * (0.5 + Uniform());
    clock_.Schedule(Seconds(length), [=, this, &gateway] {
      state->OnEnd(clock_.now());
      state->tokens().OnEnd(tokens);
      gateway.table.TokenMixOf("pool").OnEnd(tokens, clock_.now());
      gateway.demand.OnEnd("pool", part, clock_.now());
      End(index, tokens);
    });
  }

  void End(size_t index, const RequestTokens& tokens) {
    EngineMemory& engine = engines_[index];
    engine.own -= tokens.own;
    --engine.requests;
    for (const PromptPart& shared : tokens.shared) {
      if (--engine.parts[shared.id] == 0)
        engine.parts.erase(shared.id);
    }
  }

  double Requests() const {
    double total = 0;
    for (const EngineMemory& engine : engines_)
      total += engine.requests;
    return total;
  }

  void Observe() {
    double held = 0;
    for (const EngineMemory& engine : engines_)
      held += static_cast<double>(engine.Held());
    result_.mean_held += held / kEngines / (kLength / milliseconds(100));
    clock_.Schedule(milliseconds(100), [this] { Observe(); });
  }

  const bool limits_tokens_;
  const double advice_per_second_;
  std::mt19937_64 random_{7};
  size_t heartbeats_ = 0;
  RouteTable routes_;
  VirtualClock clock_;
  std::array<EngineMemory, kEngines> engines_;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<EngineGateway>> gateways_;
  FleetResult result_;
};

BOOST_AUTO_TEST_SUITE(engines_whose_memory_is_full_before_their_slots)

// Guards against engines that end because all gateways together send more than
// fits, each within the memory by its own requests.
BOOST_AUTO_TEST_CASE(stay_within_it_in_fleets_of_many_gateways) {
  for (const size_t gateways : {9, 63, 123}) {
    BOOST_TEST_CONTEXT(gateways << " gateways") {
      const FleetResult without = FullEngines(gateways, false, 90).Run();
      const FleetResult with = FullEngines(gateways, true, 90).Run();
      BOOST_TEST_MESSAGE("most held "
                         << without.most_held << ", with limits "
                         << with.most_held << ", mean " << with.mean_held
                         << ", refused " << with.refused[0] << " chats of "
                         << with.refused[0] + with.sent[0] << " and "
                         << with.refused[1] << " of "
                         << with.refused[1] + with.sent[1] << ", early "
                         << with.refused_early);
      BOOST_TEST(without.most_held > kCapacity);
      BOOST_TEST(with.most_held <= kCapacity);
      // The memory is used, and urgent requests find room nearly always, even
      // without a wait. Estimates by counts are wrong for a few requests.
      BOOST_TEST(with.mean_held >= 0.5 * kCapacity);
      BOOST_TEST(with.refused[0] * 30 <= with.sent[0]);
      BOOST_TEST(with.refused_early * 300 <= with.refused[1]);
    }
  }
}

// Guards against refusals while there is room.
BOOST_AUTO_TEST_CASE(refuse_nothing_while_they_have_room) {
  const FleetResult result = FullEngines(63, true, 20).Run();
  BOOST_TEST(result.refused[0] == 0u);
  BOOST_TEST(result.refused[1] == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
