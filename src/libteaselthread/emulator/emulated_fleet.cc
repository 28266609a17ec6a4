#include "libteaselthread/emulator/emulated_fleet.h"

#include <algorithm>

#include "libteaselthread/peers/peer_set.h"

namespace teaselthread::emulator {
namespace {

// As often as gateways of a zone of 20 send heartbeats.
constexpr Duration kNewsInterval = std::chrono::milliseconds(400);
constexpr Duration kSumsInterval =
    kNewsInterval * static_cast<int>(PeerSet::kHeartbeatsPerRemoteHeartbeat);
constexpr size_t kNewsItems = 16;
// The operators' bound on an engine's load.
constexpr double kBoundMultiple = 2;
constexpr double kBoundSlack = 3;
// Engines were there long before the load.
constexpr Duration kWarmUp = std::chrono::seconds(60);

}  // namespace

double FleetResult::FirstTokenQuantile(double share) const {
  if (first_token_seconds.empty())
    return 0;
  std::vector<double> sorted = first_token_seconds;
  const auto place =
      sorted.begin() +
      static_cast<ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), place, sorted.end());
  return *place;
}

EmulatedFleet::EmulatedFleet(const Scenario* scenario, uint64_t seed)
    : scenario_(scenario), load_random_(seed), random_(seed + 1) {
  for (uint32_t i = 0; i < scenario->engines; ++i) {
    engines_.push_back(
        std::make_unique<EmulatedEngine>(&clock_, scenario->speed));
    if (i < scenario->slow_engines)
      engines_.back()->set_slowness(scenario->slowness);
  }
  for (uint32_t i = 0; i < scenario->gateways; ++i)
    gateways_.push_back(MakeGateway(i));
}

std::string EmulatedFleet::ZoneName(uint32_t index) const {
  return "zone-" + std::to_string(index % scenario_->zones);
}

std::unique_ptr<EmulatedGateway> EmulatedFleet::MakeGateway(
    uint32_t index) const {
  auto gateway = std::make_unique<EmulatedGateway>();
  gateway->name = "gateway-" + std::to_string(index);
  gateway->zone = ZoneName(index);
  for (uint32_t i = 0; i < scenario_->engines; ++i) {
    EndpointRecord record;
    record.id = std::to_string(i);
    record.service = kServiceName;
    // The port tells the engine that a copy is taken from.
    record.address = {"192.0.2.1", static_cast<uint16_t>(i)};
    record.zone = ZoneName(i);
    record.slots = scenario_->speed.slots;
    gateway->table.Put(record, clock_.now());
  }
  return gateway;
}

Duration EmulatedFleet::Elapsed() const {
  return clock_.now().time_since_epoch() - kWarmUp;
}

FleetResult EmulatedFleet::Run(PlacementStrategy* strategy) {
  strategy_ = strategy;
  clock_.RunUntil(Timestamp(kWarmUp));
  for (const ChatClass& chat_class : scenario_->classes)
    ScheduleArrival(chat_class);
  ShareSums();
  ShareNews();
  if (scenario_->crash_share > 0)
    clock_.Schedule(scenario_->crash.begin, [this] { Crash(); });
  clock_.RunUntil(Timestamp(kWarmUp + scenario_->length));
  for (const EnginePtr& engine : engines_) {
    result_.tokens_read += engine->tokens_read();
    result_.tokens_reused += engine->tokens_reused();
    result_.tokens_copied += engine->tokens_copied();
  }
  return result_;
}

void EmulatedFleet::ScheduleArrival(const ChatClass& chat_class) {
  const double multiple =
      scenario_->burst.Contains(Elapsed()) ? scenario_->burst_multiple : 1;
  std::exponential_distribution<double> gap(chat_class.per_second * multiple);
  clock_.Schedule(Duration(static_cast<Duration::rep>(gap(load_random_) * 1e6)),
                  [this, &chat_class] {
                    Serve(chat_class);
                    ScheduleArrival(chat_class);
                  });
}

std::vector<PromptPart> EmulatedFleet::DrawPrompt(const ChatClass& chat_class) {
  const bool is_hot =
      std::bernoulli_distribution(chat_class.hot_share)(load_random_) &&
      scenario_->hot.Contains(Elapsed());
  const uint32_t drawn = std::uniform_int_distribution<uint32_t>(
      0, chat_class.documents - 1)(load_random_);
  const std::string document = std::to_string(is_hot ? 0 : drawn);
  return {{chat_class.name, chat_class.system_tokens},
          {chat_class.name + "/" + document, chat_class.document_tokens},
          {"own/" + std::to_string(++prompts_), chat_class.own_tokens}};
}

void EmulatedFleet::Serve(const ChatClass& chat_class) {
  EmulatedGateway& gateway = *gateways_[std::uniform_int_distribution<size_t>(
      0, gateways_.size() - 1)(load_random_)];
  std::vector<PromptPart> prompt = DrawPrompt(chat_class);
  const Placement placement =
      strategy_->Place(gateway, prompt, engines_, clock_.now());
  Send(gateway, placement, chat_class, std::move(prompt));
}

void EmulatedFleet::Send(EmulatedGateway& gateway,
                         const Placement& placement,
                         const ChatClass& chat_class,
                         std::vector<PromptPart> prompt) {
  const Timestamp sent_at = clock_.now();
  const std::string part = AffinityPart(prompt).id;
  EmulatedEngine* engine = engines_[placement.engine].get();
  const std::string id = std::to_string(placement.engine);
  const std::vector<EndpointPtr> all = gateway.table.Running(kServiceName);
  const EndpointPtr known =
      *std::find_if(all.begin(), all.end(), [&id](const EndpointPtr& endpoint) {
        return endpoint->record().id == id;
      });
  CountSend(placement.engine);
  ++under_way_;
  known->OnSend(sent_at);
  gateway.demand.OnStart(kServiceName, part, sent_at);
  EngineRequest request;
  request.output_tokens = chat_class.output_tokens;
  request.priority = chat_class.priority;
  if (placement.copy_from) {
    request.copyable_tokens =
        engines_[*placement.copy_from]->cache().CachedTokens(prompt);
  }
  request.prompt = std::move(prompt);
  const size_t window = static_cast<size_t>(Elapsed() / kWindow);
  request.on_first_token = [this, known, engine, sent_at, window,
                            objective = chat_class.objective] {
    const Duration took = clock_.now() - sent_at;
    result_.first_token_seconds.push_back(
        std::chrono::duration<double>(took).count());
    if (took <= objective) {
      ++result_.in_time;
      ++result_.windows[window].in_time;
    }
    known->OnReport({engine->load() - engine->waiting(), engine->waiting()},
                    clock_.now());
  };
  request.on_end = [this, known, &gateway, part] {
    --under_way_;
    known->OnEnd();
    gateway.demand.OnEnd(kServiceName, part, clock_.now());
  };
  engine->Submit(std::move(request));
  result_.most_load = std::max(result_.most_load, engine->load());
}

WindowCounts& EmulatedFleet::CurrentWindow() {
  const size_t window = static_cast<size_t>(Elapsed() / kWindow);
  result_.windows.resize(std::max(result_.windows.size(), window + 1));
  return result_.windows[window];
}

void EmulatedFleet::CountSend(size_t engine) {
  const double mean =
      static_cast<double>(under_way_) / static_cast<double>(engines_.size());
  WindowCounts& window = CurrentWindow();
  ++window.requests;
  ++result_.requests;
  if (engines_[engine]->load() > kBoundMultiple * mean + kBoundSlack)
    ++window.over_bound;
}

void EmulatedFleet::ShareSums() {
  for (const auto& gateway : gateways_)
    gateway->service_requests = under_way_;
  clock_.Schedule(kSumsInterval, [this] { ShareSums(); });
}

void EmulatedFleet::ShareNews() {
  std::uniform_int_distribution<size_t> any(0, gateways_.size() - 1);
  for (const auto& from : gateways_) {
    const std::vector<LoadUpdate> updates =
        from->table.BusiestEndpoints(kNewsItems, clock_.now());
    for (size_t i = 0; i < PeerSet::kLoadUpdateTargets; ++i) {
      EmulatedGateway& to = *gateways_[any(random_)];
      // Heartbeats cross zones less often.
      const bool reaches =
          from->zone == to.zone ||
          random_() % PeerSet::kHeartbeatsPerRemoteHeartbeat == 0;
      if (!reaches || &to == from.get())
        continue;
      for (const LoadUpdate& item : updates)
        to.table.OnLoadUpdate(item, clock_.now());
    }
  }
  clock_.Schedule(kNewsInterval, [this] { ShareNews(); });
}

void EmulatedFleet::Crash() {
  for (const EnginePtr& engine : engines_) {
    if (std::bernoulli_distribution(scenario_->crash_share)(random_))
      engine->ClearCache();
  }
}

}  // namespace teaselthread::emulator
