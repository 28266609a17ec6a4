#include "libteaselthread/emulator/emulated_fleet.h"

#include <algorithm>

#include "libteaselthread/peers/peer_set.h"

namespace teaselthread::emulator {
namespace {

// Heartbeat interval of a gateway in a zone of 20.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(400);
constexpr Duration kRemoteHeartbeatInterval =
    kHeartbeatInterval *
    static_cast<int>(PeerSet::kHeartbeatsPerRemoteHeartbeat);
constexpr size_t kMaxUpdatesPerHeartbeat = 16;
constexpr Duration kNoticeCheckInterval = std::chrono::milliseconds(100);
// Operators require an engine's load to stay within factor x mean + slack.
constexpr double kLoadBoundFactor = 2;
constexpr double kLoadBoundSlack = 3;
constexpr Duration kRoomCheckInterval = std::chrono::milliseconds(20);
// Engines are registered this long before the load begins.
constexpr Duration kWarmUp = std::chrono::seconds(60);

}  // namespace

double FleetResult::FirstTokenQuantile(double share) const {
  if (first_token_seconds.empty())
    return 0;
  std::vector<double> sorted = first_token_seconds;
  const auto quantile =
      sorted.begin() +
      static_cast<ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), quantile, sorted.end());
  return *quantile;
}

EmulatedFleet::EmulatedFleet(const Scenario* scenario, uint64_t seed)
    : scenario_(scenario), load_random_(seed), random_(seed + 1) {
  for (uint32_t i = 0; i < scenario->engines; ++i) {
    engines_.push_back(
        std::make_unique<EmulatedEngine>(&clock_, scenario->engine_parameters));
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
  for (uint32_t i = 0; i < scenario_->gateways; ++i)
    gateway->fleet.push_back("gateway-" + std::to_string(i));
  for (uint32_t i = 0; i < scenario_->engines; ++i)
    gateway->table.Put(MakeRecord(i), clock_.now());
  return gateway;
}

EndpointRecord EmulatedFleet::MakeRecord(uint32_t index) const {
  EndpointRecord record;
  record.id = std::to_string(index);
  record.service = kServiceName;
  // The port is the engine's index, by which the source of a copy is found.
  record.address = {"192.0.2.1", static_cast<uint16_t>(index)};
  record.zone = ZoneName(index);
  record.slots = scenario_->engine_parameters.slots;
  return record;
}

Duration EmulatedFleet::Elapsed() const {
  return clock_.now().time_since_epoch() - kWarmUp;
}

FleetResult EmulatedFleet::Run(PlacementStrategy* strategy) {
  strategy_ = strategy;
  clock_.RunUntil(Timestamp(kWarmUp));
  for (const ChatClass& chat_class : scenario_->classes)
    ScheduleArrival(chat_class);
  ExchangeRequestTotals();
  SendLoadUpdates();
  SendNotices();
  if (scenario_->crash_share > 0)
    clock_.Schedule(scenario_->crash.begin, [this] { Crash(); });
  if (scenario_->drain_share > 0)
    clock_.Schedule(scenario_->drain.begin, [this] { Drain(); });
  if (scenario_->evacuation.length > Duration::zero()) {
    clock_.Schedule(scenario_->evacuation.begin,
                    [this] { SetEvacuatedZones({ZoneName(0)}); });
    clock_.Schedule(scenario_->evacuation.begin + scenario_->evacuation.length,
                    [this] { SetEvacuatedZones({}); });
  }
  clock_.RunUntil(Timestamp(kWarmUp + scenario_->length));
  for (const EnginePtr& engine : engines_) {
    result_.tokens_prefilled += engine->tokens_prefilled();
    result_.tokens_reused += engine->tokens_reused();
    result_.tokens_copied += engine->tokens_copied();
  }
  return result_;
}

void EmulatedFleet::ScheduleArrival(const ChatClass& chat_class) {
  const double multiple =
      scenario_->burst.Contains(Elapsed()) ? scenario_->burst_multiple : 1;
  std::exponential_distribution<double> interarrival_s(chat_class.per_second *
                                                       multiple);
  clock_.Schedule(
      Duration(static_cast<Duration::rep>(interarrival_s(load_random_) * 1e6)),
      [this, &chat_class] {
        OnArrival(chat_class);
        ScheduleArrival(chat_class);
      });
}

std::vector<PromptPart> EmulatedFleet::GeneratePrompt(
    const ChatClass& chat_class) {
  const bool is_hot =
      std::bernoulli_distribution(chat_class.hot_share)(load_random_) &&
      scenario_->hot.Contains(Elapsed());
  const uint32_t document_index = std::uniform_int_distribution<uint32_t>(
      0, chat_class.documents - 1)(load_random_);
  const std::string document = std::to_string(is_hot ? 0 : document_index);
  return {{chat_class.name, chat_class.system_tokens},
          {chat_class.name + "/" + document, chat_class.document_tokens},
          {"own/" + std::to_string(++prompt_count_), chat_class.own_tokens}};
}

void EmulatedFleet::OnArrival(const ChatClass& chat_class) {
  EmulatedGateway& gateway = *gateways_[std::uniform_int_distribution<size_t>(
      0, gateways_.size() - 1)(load_random_)];
  Place(gateway, chat_class, GeneratePrompt(chat_class), clock_.now());
}

void EmulatedFleet::Place(EmulatedGateway& gateway,
                          const ChatClass& chat_class,
                          const std::vector<PromptPart>& prompt,
                          Timestamp arrived_at) {
  const std::optional<Placement> placement =
      strategy_->Place(gateway, prompt, engines_, clock_.now());
  if (placement) {
    Send(gateway, *placement, chat_class, prompt, arrived_at);
    return;
  }
  clock_.Schedule(kRoomCheckInterval,
                  [this, &gateway, &chat_class, prompt, arrived_at] {
                    Place(gateway, chat_class, prompt, arrived_at);
                  });
}

void EmulatedFleet::Send(EmulatedGateway& gateway,
                         const Placement& placement,
                         const ChatClass& chat_class,
                         std::vector<PromptPart> prompt,
                         Timestamp arrived_at) {
  const Timestamp sent_at = clock_.now();
  const std::string part = AffinityPart(prompt).id;
  EmulatedEngine* engine = engines_[placement.engine].get();
  const std::string id = std::to_string(placement.engine);
  const std::vector<EndpointPtr> all = gateway.table.Running(kServiceName);
  const EndpointPtr endpoint_state =
      *std::find_if(all.begin(), all.end(), [&id](const EndpointPtr& endpoint) {
        return endpoint->record().id == id;
      });
  CountSend(placement.engine);
  ++running_requests_;
  endpoint_state->OnSend(sent_at);
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
  request.on_first_token = [this, endpoint_state, engine, arrived_at, window,
                            objective = chat_class.objective] {
    const Duration first_token_time = clock_.now() - arrived_at;
    result_.first_token_seconds.push_back(
        std::chrono::duration<double>(first_token_time).count());
    if (first_token_time <= objective) {
      ++result_.in_time;
      ++result_.windows[window].in_time;
    }
    endpoint_state->OnReport(
        {engine->load() - engine->waiting(), engine->waiting()}, clock_.now());
  };
  request.on_end = [this, endpoint_state, &gateway, part] {
    --running_requests_;
    endpoint_state->OnEnd(clock_.now());
    gateway.demand.OnEnd(kServiceName, part, clock_.now());
  };
  engine->Submit(std::move(request));
  result_.max_load = std::max(result_.max_load, engine->load());
}

WindowStats& EmulatedFleet::CurrentWindow() {
  const size_t window = static_cast<size_t>(Elapsed() / kWindow);
  result_.windows.resize(std::max(result_.windows.size(), window + 1));
  return result_.windows[window];
}

void EmulatedFleet::CountSend(size_t engine) {
  // Draining engines do not count for the operators' bound.
  double requests = 0;
  for (size_t i = 0; i < engines_.size(); ++i)
    requests += draining_.contains(i) ? 0 : engines_[i]->load();
  const double mean =
      requests / static_cast<double>(engines_.size() - draining_.size());
  WindowStats& window = CurrentWindow();
  ++window.requests;
  ++result_.requests;
  if (engines_[engine]->load() > kLoadBoundFactor * mean + kLoadBoundSlack)
    ++window.over_bound;
}

void EmulatedFleet::ExchangeRequestTotals() {
  for (const auto& gateway : gateways_)
    gateway->service_requests = running_requests_;
  clock_.Schedule(kRemoteHeartbeatInterval,
                  [this] { ExchangeRequestTotals(); });
}

void EmulatedFleet::SendLoadUpdates() {
  std::uniform_int_distribution<size_t> gateway_index(0, gateways_.size() - 1);
  for (const auto& from : gateways_) {
    const std::vector<LoadUpdate> updates =
        from->table.BusiestEndpoints(kMaxUpdatesPerHeartbeat, clock_.now());
    for (size_t i = 0; i < PeerSet::kLoadUpdateTargets; ++i) {
      EmulatedGateway& to = *gateways_[gateway_index(random_)];
      // Heartbeats to other zones are sent less often.
      const bool is_delivered =
          from->zone == to.zone ||
          random_() % PeerSet::kHeartbeatsPerRemoteHeartbeat == 0;
      if (!is_delivered || &to == from.get())
        continue;
      for (const LoadUpdate& item : updates)
        to.table.OnLoadUpdate(item, clock_.now());
    }
  }
  clock_.Schedule(kHeartbeatInterval, [this] { SendLoadUpdates(); });
}

void EmulatedFleet::SendNotices() {
  const Timestamp now = clock_.now();
  for (const auto& from : gateways_) {
    const auto bound =
        EndpointSelector(&from->table)
            .ReducedLoadBound(kServiceName, from->service_requests, now);
    if (!bound)
      continue;
    const std::vector<LoadUpdate> due = from->notices.TakeDue(
        from->table.Available(kServiceName, now), *bound, now);
    for (const auto& to : gateways_) {
      if (to->zone != from->zone || to == from)
        continue;
      for (const LoadUpdate& item : due) {
        to->table.OnLoadUpdate(item, now);
        to->notices.OnShared(item, now);
      }
    }
  }
  clock_.Schedule(kNoticeCheckInterval, [this] { SendNotices(); });
}

void EmulatedFleet::Crash() {
  for (const EnginePtr& engine : engines_) {
    if (std::bernoulli_distribution(scenario_->crash_share)(random_))
      engine->ClearCache();
  }
}

void EmulatedFleet::SetEvacuatedZones(const std::set<std::string>& zones) {
  for (const auto& gateway : gateways_)
    gateway->table.SetEvacuatedZones(zones, clock_.now());
}

void EmulatedFleet::Drain() {
  for (uint32_t i = 0; i < engines_.size(); ++i) {
    if (!std::bernoulli_distribution(scenario_->drain_share)(random_))
      continue;
    draining_.insert(i);
    EndpointRecord record = MakeRecord(i);
    record.draining = true;
    for (const auto& gateway : gateways_)
      gateway->table.Put(record, clock_.now());
  }
}

}  // namespace teaselthread::emulator
