#include "rate_limits/limited_fleet.h"

#include <algorithm>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kResponseTime = milliseconds(30);
constexpr Duration kMessageTime = milliseconds(8);
constexpr Duration kDiscoveryTime = milliseconds(500);
constexpr Duration kRefreshInterval = seconds(2);
constexpr Duration kChangesInterval = milliseconds(100);
constexpr Duration kWindow = seconds(4);
constexpr size_t kChangeReceivers = 6;
constexpr size_t kRefreshReceivers = 3;
constexpr size_t kRemoteReceivers = 4;
constexpr int kZones = 3;

}  // namespace

LimitedFleet::LimitedFleet(const Options& options)
    : random_(options.seed),
      demand_(options.demand),
      message_loss_(options.message_loss) {
  for (int i = 0; i < options.gateways; ++i)
    Add(now_);
  for (int i = 0; i < options.endpoints; ++i) {
    Endpoint endpoint;
    endpoint.record.id = "endpoint-" + std::to_string(i);
    endpoint.record.started_at_ms = 1;
    endpoints_.push_back(endpoint);
  }
}

void LimitedFleet::Add(Timestamp known_at) {
  Gateway gateway;
  gateway.name = "gateway-" + std::to_string(gateways_.size());
  gateway.zone = static_cast<int>(gateways_.size()) % kZones;
  gateway.known_at = known_at;
  gateways_.push_back(std::move(gateway));
}

void LimitedFleet::SetRate(int endpoint, std::optional<double> rate) {
  endpoints_[endpoint].rate = rate;
}

void LimitedFleet::Restart(int endpoint) {
  ++endpoints_[endpoint].record.started_at_ms;
}

void LimitedFleet::Kill(int gateway) {
  gateways_[gateway].runs = false;
  gateways_[gateway].table = RateLimitTable();
}

void LimitedFleet::Join() {
  Add(now_ + kDiscoveryTime);
}

void LimitedFleet::RunFor(Duration time) {
  const Timestamp end = now_ + time;
  while (now_ < end)
    Step();
}

void LimitedFleet::Step() {
  now_ += kStep;
  while (!due_.empty() && due_.begin()->first <= now_) {
    const auto action = due_.begin()->second;
    due_.erase(due_.begin());
    action();
  }
  const Duration since_start = now_.time_since_epoch();
  for (int i = 0; i < static_cast<int>(gateways_.size()); ++i) {
    if (!gateways_[i].runs)
      continue;
    // The gateways' timers are spread over time.
    const Duration offset = kStep * (i % 10);
    if ((since_start + offset) % kChangesInterval == Duration::zero())
      Exchange(i, (since_start + offset) % kRefreshInterval < kChangesInterval);
    SendRequests(i);
  }
}

void LimitedFleet::SendRequests(int gateway) {
  const double mean = demand_ * std::chrono::duration<double>(kStep).count() /
                      static_cast<double>(gateways_.size());
  int requests = std::poisson_distribution<int>(mean)(random_);
  std::vector<int> order(endpoints_.size());
  for (size_t i = 0; i < order.size(); ++i)
    order[i] = static_cast<int>(i);
  for (; requests > 0; --requests) {
    std::shuffle(order.begin(), order.end(), random_);
    const auto found = std::find_if(order.begin(), order.end(), [&](int i) {
      return gateways_[gateway].table.Allows(endpoints_[i].record, now_);
    });
    if (found != order.end())
      Send(gateway, *found);
  }
}

void LimitedFleet::Send(int gateway, int endpoint) {
  Endpoint& to = endpoints_[endpoint];
  gateways_[gateway].table.OnSend(to.record, now_);
  to.arrivals.push_back(now_);
  NamedRate named{NamedRate::Kind::kUnlimited, 0};
  if (to.rate)
    named = {NamedRate::Kind::kLimited, *to.rate};
  due_.emplace(now_ + kResponseTime, [this, gateway, record = to.record, named,
                                      sent_at = now_] {
    gateways_[gateway].table.OnResponse(record, named, sent_at, now_);
  });
}

void LimitedFleet::Exchange(int gateway, bool refreshes) {
  Gateway& self = gateways_[gateway];
  std::vector<std::string> nodes;
  for (const Gateway& other : gateways_) {
    if (other.known_at <= now_)
      nodes.push_back(other.name);
  }
  self.table.SetNodes(self.name, std::move(nodes));
  const RateLimitNews news = self.table.TakeChanges(now_);
  for (const int to : OthersOf(gateway, true, kChangeReceivers))
    Tell(gateway, to, news.for_zone);
  for (const int to : OthersOf(gateway, false, kRemoteReceivers * (kZones - 1)))
    Tell(gateway, to, news.for_other_zones);
  if (!refreshes)
    return;
  const std::vector<RateLimitUpdate> updates = self.table.TakeForRefresh(now_);
  for (const int to : OthersOf(gateway, true, kRefreshReceivers))
    Tell(gateway, to, updates);
}

void LimitedFleet::Tell(int from,
                        int to,
                        const std::vector<RateLimitUpdate>& updates) {
  if (updates.empty())
    return;
  gateways_[from].updates_sent += updates.size();
  const bool is_lost =
      std::uniform_real_distribution<double>()(random_) < message_loss_;
  if (is_lost || gateways_[from].is_cut_off || gateways_[to].is_cut_off)
    return;
  due_.emplace(now_ + kMessageTime, [this, to, updates] {
    if (!gateways_[to].runs)
      return;
    for (const RateLimitUpdate& update : updates) {
      for (const Endpoint& endpoint : endpoints_) {
        if (ShortHash(endpoint.record.id) == update.endpoint)
          gateways_[to].table.OnUpdate(endpoint.record, update, now_);
      }
    }
  });
}

std::vector<int> LimitedFleet::OthersOf(int gateway,
                                        bool in_zone,
                                        size_t count) {
  std::vector<int> others;
  for (int i = 0; i < static_cast<int>(gateways_.size()); ++i) {
    if (i != gateway &&
        (gateways_[i].zone == gateways_[gateway].zone) == in_zone)
      others.push_back(i);
  }
  std::shuffle(others.begin(), others.end(), random_);
  others.resize(std::min(count, others.size()));
  return others;
}

size_t LimitedFleet::MostInFourSeconds(int endpoint, Timestamp from) const {
  std::vector<Timestamp> times;
  for (const Timestamp arrival : endpoints_[endpoint].arrivals) {
    if (arrival >= from)
      times.push_back(arrival);
  }
  size_t most = 0;
  for (size_t first = 0, end = 0; first < times.size(); ++first) {
    while (end < times.size() && times[end] - times[first] < kWindow)
      ++end;
    most = std::max(most, end - first);
  }
  return most;
}

size_t LimitedFleet::Sent(int endpoint, Timestamp from) const {
  const auto& arrivals = endpoints_[endpoint].arrivals;
  return static_cast<size_t>(
      std::count_if(arrivals.begin(), arrivals.end(),
                    [&](Timestamp arrival) { return arrival >= from; }));
}

}  // namespace teaselthread::test
