#include "rollouts/rollout_fleet.h"

#include <algorithm>
#include <cmath>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread::test {
namespace {

using std::chrono::milliseconds;

constexpr Duration kUsualTime = milliseconds(60);
constexpr Duration kWatchDelay = milliseconds(150);
constexpr Duration kCallTime = milliseconds(30);
constexpr Duration kWritePause = milliseconds(500);
constexpr Duration kAdvanceInterval = milliseconds(100);
constexpr Duration kReportInterval = milliseconds(500);
constexpr Duration kLinkDelay = milliseconds(5);
constexpr size_t kZoneReceivers = 3;
// Old endpoints are stopped as soon as the platform reads the status. Until
// then other nodes may not have read it either.
constexpr Duration kCompletionMargin = milliseconds(400);

std::string ZoneName(int zone) {
  return std::string(1, static_cast<char>('a' + zone));
}

uint32_t RouteHash(int route) {
  return ShortHash("route-" + std::to_string(route));
}

}  // namespace

SimulatedFleet::SimulatedFleet(RolloutFleetOptions options)
    : options_(std::move(options)), random_(options_.seed) {
  double total = 0;
  nodes_.resize(static_cast<size_t>(options_.nodes));
  for (int i = 0; i < options_.nodes; ++i) {
    Node& node = nodes_[static_cast<size_t>(i)];
    node.name = "node-" + std::to_string(1'000 + i);
    node.zone = ZoneName(i % options_.zones);
    node.share = std::pow(options_.traffic_decay, i);
    total += node.share;
    Start(&node, 1);
  }
  for (Node& node : nodes_)
    node.share /= total;
}

void SimulatedFleet::Start(Node* node, uint32_t start) {
  node->endpoints = std::make_unique<EndpointTable>();
  node->endpoints->SetServices(MakeRoutes());
  std::vector<EndpointRecord> records;
  const int count = (has_target_ ? 2 : 1) * options_.endpoints;
  for (int i = 0; i < count; ++i)
    records.push_back(MakeRecord(i));
  node->endpoints->ReplaceAll(records, Time());
  node->table = std::make_unique<RolloutTable>(
      RolloutLimits{0.1, 50, std::chrono::seconds(5)}, node->name, start,
      node->endpoints.get());
}

EndpointRecord SimulatedFleet::MakeRecord(int index) const {
  EndpointRecord record = MakeDeskRecord("i-" + std::to_string(100 + index),
                                         ZoneName(index % options_.zones));
  record.version = index < options_.endpoints ? "v1" : "v2";
  return record;
}

void SimulatedFleet::StartTarget() {
  has_target_ = true;
  for (Node& node : nodes_) {
    for (int i = options_.endpoints; i < 2 * options_.endpoints; ++i)
      node.endpoints->Put(MakeRecord(i), Time());
  }
}

void SimulatedFleet::Restart(int index) {
  Node& node = nodes_[static_cast<size_t>(index)];
  Start(&node, static_cast<uint32_t>(now_.count()));
  if (order_)
    node.table->Put(*order_, Time());
}

Timestamp SimulatedFleet::Time() const {
  return test::At(now_);
}

void SimulatedFleet::At(Duration at, std::function<void()> run) {
  events_.emplace(at, std::move(run));
}

bool SimulatedFleet::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void SimulatedFleet::RunFor(Duration time) {
  const Duration end = now_ + time;
  while (now_ < end)
    Step();
}

void SimulatedFleet::Step() {
  now_ += kStep;
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto run = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    run();
  }
  for (Node& node : nodes_) {
    double expected = options_.requests_per_second * node.share *
                      std::chrono::duration<double>(kStep).count();
    for (; expected > 0; expected -= 1) {
      if (node.is_alive && Chance(std::min(1.0, expected)))
        SendRequest(&node);
    }
  }
  if (now_ % kReportInterval == Duration::zero())
    Exchange();
  for (Node& node : nodes_) {
    if (node.is_alive && now_ % kAdvanceInterval == Duration::zero())
      Advance(&node);
  }
}

void SimulatedFleet::SendRequest(Node* node) {
  const int route = static_cast<int>(random_() % options_.routes);
  static const RouteTable routes = MakeRoutes();
  SelectionQuery query;
  query.service = routes.FindService("desk");
  SelectionContext context;
  context.zone = node->zone;
  context.node = node->name;
  SelectionResult result = NoEndpointReason::kNoneAvailable;
  std::vector<VersionRule> rules =
      node->table->RulesFor("desk", RouteHash(route), nodes_.size(), Time());
  if (rules.empty())
    rules.emplace_back();
  const EndpointSelector selector(node->endpoints.get());
  for (const VersionRule& rule : rules) {
    context.versions = rule;
    result = selector.Select(query, context, Time());
    if (std::holds_alternative<Selection>(result))
      break;
  }
  if (!std::holds_alternative<Selection>(result))
    return;
  const EndpointPtr endpoint = std::get<Selection>(result).endpoint;
  const EndpointRecord record = endpoint->record();
  const bool is_target = record.version == "v2";
  node->table->OnSend("desk", RouteHash(route), record.version);
  endpoint->OnSend(Time());
  ++counts_.sends;
  if (is_target) {
    ++counts_.target_sends;
    counts_.last_target_send_ms = static_cast<int>(now_ / milliseconds(1));
  } else if (state() == "completed" &&
             now_ > completed_at_ + kCompletionMargin) {
    ++counts_.old_sends_after_completion;
  }
  uint32_t load = 0;
  for (const Node& other : nodes_) {
    for (const EndpointPtr& known : other.endpoints->Running("desk"))
      load += known->record().id == record.id ? known->local_requests() : 0;
  }
  SimulatedResponse response;
  if (is_target)
    response = options_.target(route, now_, load);
  response.fails = response.fails || Chance(options_.old_failures);
  if (Chance(options_.old_slow))
    response.slowness *= 4;
  ResponseOutcome outcome;
  outcome.kind = response.fails ? ResponseOutcome::Kind::kFailed
                                : ResponseOutcome::Kind::kAnswered;
  const double jitter =
      std::uniform_real_distribution<double>(0.7, 1.3)(random_);
  outcome.time = std::chrono::duration_cast<Duration>(
      kUsualTime * response.slowness * jitter);
  outcome.is_timed = true;
  RolloutTable* table = node->table.get();
  const bool is_bad = response.fails || response.slowness > 2.5;
  At(now_ + outcome.time, [=, this] {
    // A process that has started anew knows nothing of earlier requests.
    if (node->table.get() != table)
      return;
    endpoint->OnEnd(Time());
    table->OnEnd("desk", RouteHash(route), record, outcome);
    if (is_target && is_bad && ++counts_.bad == 50)
      counts_.bad_50_at_ms = static_cast<int>(now_ / milliseconds(1));
  });
}

RolloutFleet SimulatedFleet::FleetOf(const Node& node) const {
  RolloutFleet fleet;
  fleet.zone = node.zone;
  fleet.nodes = nodes_.size();
  fleet.is_zone_leader = true;
  for (const Node& other : nodes_) {
    const bool is_heard = other.is_alive && !other.is_partitioned &&
                          !node.is_partitioned && &other != &node;
    if (!is_heard)
      continue;
    if (other.zone == node.zone)
      fleet.zone_nodes.insert(other.name);
    else
      fleet.other_zones.insert(other.zone);
    if (other.zone == node.zone && other.name < node.name)
      fleet.is_zone_leader = false;
  }
  return fleet;
}

std::vector<SimulatedFleet::Node*> SimulatedFleet::FirstOfZone(
    const std::string& zone) {
  std::vector<Node*> first;
  for (Node& node : nodes_) {
    if (node.zone == zone && node.is_alive && first.size() < kZoneReceivers)
      first.push_back(&node);
  }
  return first;
}

void SimulatedFleet::Deliver(Node* from,
                             Node* to,
                             const RolloutReport& report) {
  if (from == to || from->is_partitioned || to->is_partitioned ||
      !to->is_alive || Chance(options_.message_loss))
    return;
  const auto receive = [this, to, report] {
    if (!to->is_alive)
      return;
    if (to->table->OnReport(report, Time()))
      SendVerdicts(to);
  };
  At(now_ + kLinkDelay, receive);
  if (Chance(options_.message_repeat))
    At(now_ + milliseconds(700), receive);
}

void SimulatedFleet::SendVerdicts(Node* from) {
  for (const RolloutReport& report : from->table->Verdicts(Time())) {
    for (Node& to : nodes_)
      Deliver(from, &to, report);
  }
}

void SimulatedFleet::Exchange() {
  for (Node& node : nodes_) {
    if (!node.is_alive)
      continue;
    for (const RolloutReport& report : node.table->OwnReports(Time())) {
      for (Node* to : FirstOfZone(node.zone))
        Deliver(&node, to, report);
    }
    SendVerdicts(&node);
    const RolloutFleet fleet = FleetOf(node);
    if (!fleet.is_zone_leader)
      continue;
    for (const RolloutReport& report : node.table->ZoneReports(fleet, Time())) {
      for (const std::string& zone : fleet.other_zones) {
        for (Node* to : FirstOfZone(zone))
          Deliver(&node, to, report);
      }
    }
  }
}

void SimulatedFleet::Advance(Node* node) {
  const RolloutFleet fleet = FleetOf(*node);
  if (!node->table->Advance(fleet, Time()).empty())
    SendVerdicts(node);
  const auto writes = node->table->WantedWrites(fleet, Time());
  if (writes.empty() || now_ < node->next_write)
    return;
  node->next_write = now_ + kWritePause;
  TryWrite(node);
}

// Reads the order and writes its status, as the writer of the program does.
void SimulatedFleet::TryWrite(Node* node) {
  if (store_down_)
    return;
  if (order_)
    node->table->Put(*order_, Time());
  node->table->Advance(FleetOf(*node), Time());
  for (const RolloutWrite& write :
       node->table->WantedWrites(FleetOf(*node), Time())) {
    if (dies_at_write_ >= 0 &&
        node == &nodes_[static_cast<size_t>(dies_at_write_)]) {
      dies_at_write_ = -1;
      node->is_alive = false;
      return;
    }
    node->table->OnWrite(write);
    At(now_ + kCallTime + late_writes_, [this, write] { Apply(write); });
  }
}

bool SimulatedFleet::Apply(const RolloutWrite& write) {
  ++writes_;
  if (!order_ || order_->revision != write.revision) {
    ++conflicts_;
    return false;
  }
  order_->status = write.status;
  order_->revision = ++revision_;
  if (write.status.state == RolloutState::kCompleted)
    completed_at_ = now_;
  Publish();
  return true;
}

void SimulatedFleet::Publish() {
  const auto order = order_;
  for (Node& node : nodes_) {
    At(now_ + kWatchDelay, [this, order, &node] {
      if (order)
        node.table->Put(*order, Time());
      else
        node.table->Remove("desk");
    });
  }
}

void SimulatedFleet::Order(const std::string& target, Duration duration) {
  if (!has_target_)
    StartTarget();
  RolloutOrder order{"desk",   "desk",       target,
                     duration, std::nullopt, ++revision_};
  if (order_)
    order.status = order_->status;
  order_ = order;
  Publish();
}

void SimulatedFleet::RemoveOrder() {
  order_.reset();
  ++revision_;
  Publish();
}

std::string SimulatedFleet::state() const {
  if (!order_ || !order_->state())
    return "";
  return std::string(ToString(*order_->state()));
}

void SimulatedFleet::Evacuate(const std::string& zone) {
  for (Node& node : nodes_)
    node.endpoints->SetEvacuatedZones({zone}, Time());
}

}  // namespace teaselthread::test
