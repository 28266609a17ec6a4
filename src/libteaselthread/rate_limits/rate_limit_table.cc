#include "libteaselthread/rate_limits/rate_limit_table.h"

#include <algorithm>
#include <cmath>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

// Longer than an endpoint's record lapses.
constexpr Duration kLapseTime = std::chrono::minutes(1);
// How long a limit that was lifted is told of, so that nodes without a share,
// which send the endpoint nothing, learn of it.
constexpr Duration kLiftedNewsTime = std::chrono::seconds(30);
// A word that is told of takes some time on its way, so it seems later than it
// was. Of two words whose times differ by less than this, the stricter one
// holds, so that nodes agree.
constexpr Duration kTellingTime = std::chrono::milliseconds(100);
// A rate that differs by less from the one that others were told is not news.
constexpr double kMinToldDifference = 0.1;

bool IsStricter(std::optional<double> rate, std::optional<double> other) {
  return rate && (!other || *rate < *other);
}

bool IsNews(std::optional<double> rate, std::optional<double> told) {
  if (!rate || !told)
    return rate.has_value() != told.has_value();
  return std::abs(*rate - *told) > kMinToldDifference * *told;
}

Duration PerRequest(const RateAllowance& allowance) {
  return allowance.window / allowance.requests;
}

}  // namespace

std::string_view ToString(RateLimitChange change) {
  constexpr std::string_view kNames[] = {"none", "named", "changed", "lifted"};
  return kNames[static_cast<size_t>(change)];
}

void RateLimitTable::SetNodes(const std::string& self,
                              std::vector<std::string> nodes) {
  if (self == self_ && nodes == nodes_)
    return;
  self_ = self;
  nodes_ = std::move(nodes);
  for (auto& [id, entry] : entries_)
    UpdateShare(id, &entry);
}

RateLimitChange RateLimitTable::OnResponse(const EndpointRecord& endpoint,
                                           const NamedRate& named,
                                           Timestamp sent_at,
                                           Timestamp now) {
  const auto entry = entries_.find(endpoint.id);
  const bool is_outdated = entry != entries_.end() &&
                           entry->second.started_at_ms > endpoint.started_at_ms;
  if (named.kind == NamedRate::Kind::kUnknown || is_outdated)
    return RateLimitChange::kNone;
  std::optional<double> rate;
  if (named.kind == NamedRate::Kind::kLimited) {
    rate = std::clamp(named.rate, kMinRate, kMaxRate);
  } else {
    const Entry* known = Find(endpoint);
    if (!known || !known->rate || sent_at <= known->said_at)
      return RateLimitChange::kNone;
  }
  const RateLimitChange change = Apply(endpoint, rate, now);
  if (change != RateLimitChange::kNone)
    entries_[endpoint.id].is_own = true;
  return change;
}

RateLimitChange RateLimitTable::OnUpdate(const EndpointRecord& endpoint,
                                         const RateLimitUpdate& update,
                                         Timestamp now) {
  if (update.start != StartKey(endpoint.started_at_ms))
    return RateLimitChange::kNone;
  std::optional<double> rate;
  if (update.rate)
    rate = std::clamp(*update.rate, kMinRate, kMaxRate);
  Timestamp said_at = now - std::max(update.age, Duration::zero());
  if (const Entry* known = Find(endpoint)) {
    const Duration later = said_at - known->said_at;
    const bool is_same_time = std::chrono::abs(later) <= kTellingTime;
    if (is_same_time ? !IsStricter(rate, known->rate)
                     : later < Duration::zero()) {
      return RateLimitChange::kNone;
    }
    said_at = std::max(said_at, known->said_at);
  }
  const RateLimitChange change = Apply(endpoint, rate, said_at);
  if (change != RateLimitChange::kNone)
    entries_[endpoint.id].is_own = false;
  return change;
}

void RateLimitTable::OnSend(const EndpointRecord& endpoint, Timestamp now) {
  const auto found = entries_.find(endpoint.id);
  if (found == entries_.end() || !found->second.rate ||
      found->second.started_at_ms != endpoint.started_at_ms) {
    return;
  }
  Entry& entry = found->second;
  // Without a share, the node may next send after all others had their turn.
  const Duration window = std::max(entry.allowance.window, TurnOfAll(entry));
  entry.sends.OnSend(now, window);
}

bool RateLimitTable::Allows(const EndpointRecord& endpoint,
                            Timestamp now) const {
  const Entry* entry = Find(endpoint);
  return !entry || !entry->rate || NextSendAt(*entry) <= now;
}

std::optional<Timestamp> RateLimitTable::NextSendAt(
    const EndpointRecord& endpoint,
    Timestamp now) const {
  const Entry* entry = Find(endpoint);
  if (!entry || !entry->rate)
    return now;
  const Timestamp next = NextSendAt(*entry);
  if (entry->share.requests == 0 && next > now)
    return std::nullopt;
  return next;
}

Timestamp RateLimitTable::NextSendAt(const Entry& entry) const {
  if (entry.share.requests > 0)
    return entry.sends.NextSendAt(entry.share.requests, entry.allowance.window);
  const Duration stale_age =
      kStaleAge + kStaleAgePerLimit * static_cast<int>(entries_.size());
  const Timestamp turn = entry.said_at + stale_age +
                         PerRequest(entry.allowance) * entry.share.rank;
  const Timestamp last = entry.sends.last_sent_at();
  return last == Timestamp{} ? turn : std::max(turn, last + TurnOfAll(entry));
}

Duration RateLimitTable::TurnOfAll(const Entry& entry) {
  return PerRequest(entry.allowance) * entry.share.nodes;
}

std::optional<RateLimitStatus> RateLimitTable::StatusOf(
    const EndpointRecord& endpoint,
    Timestamp now) const {
  const Entry* entry = Find(endpoint);
  if (!entry || !entry->rate)
    return std::nullopt;
  return RateLimitStatus{*entry->rate, now - entry->said_at, entry->share};
}

size_t RateLimitTable::size() const {
  return static_cast<size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& item) { return item.second.rate.has_value(); }));
}

RateLimitNews RateLimitTable::TakeChanges(Timestamp now) {
  RateLimitNews news;
  for (auto& [id, entry] : entries_) {
    if (!entry.is_changed || news.for_zone.size() == kMaxUpdates)
      continue;
    const RateLimitUpdate update = MakeUpdate(id, entry, now);
    news.for_zone.push_back(update);
    if (entry.is_own)
      news.for_other_zones.push_back(update);
    entry.is_changed = false;
    entry.passed_on_at = now;
  }
  return news;
}

std::vector<RateLimitUpdate> RateLimitTable::TakeForRefresh(Timestamp now) {
  std::vector<std::map<std::string, Entry>::iterator> due;
  for (auto item = entries_.begin(); item != entries_.end(); ++item) {
    const Entry& entry = item->second;
    if (entry.rate || now - entry.said_at <= kLiftedNewsTime)
      due.push_back(item);
  }
  const auto end =
      due.begin() + static_cast<ptrdiff_t>(std::min(kMaxUpdates, due.size()));
  std::partial_sort(due.begin(), end, due.end(),
                    [](const auto& a, const auto& b) {
                      return a->second.passed_on_at < b->second.passed_on_at;
                    });
  std::vector<RateLimitUpdate> updates;
  for (auto item = due.begin(); item != end; ++item) {
    Entry& entry = (*item)->second;
    updates.push_back(MakeUpdate((*item)->first, entry, now));
    entry.passed_on_at = now;
  }
  return updates;
}

std::vector<RateLimitUpdate> RateLimitTable::All(Timestamp now) const {
  std::vector<RateLimitUpdate> updates;
  for (const auto& [id, entry] : entries_) {
    if (entry.rate)
      updates.push_back(MakeUpdate(id, entry, now));
  }
  return updates;
}

void RateLimitTable::Sweep(
    const std::function<bool(const std::string&)>& is_registered,
    Timestamp now) {
  std::erase_if(entries_, [&](const auto& item) {
    const Duration age = now - item.second.said_at;
    if (!item.second.rate)
      return age > kLiftedNewsTime;
    return age > kLapseTime && !is_registered(item.first);
  });
}

const RateLimitTable::Entry* RateLimitTable::Find(
    const EndpointRecord& endpoint) const {
  const auto found = entries_.find(endpoint.id);
  const bool is_known = found != entries_.end() &&
                        found->second.started_at_ms == endpoint.started_at_ms;
  return is_known ? &found->second : nullptr;
}

RateLimitChange RateLimitTable::Apply(const EndpointRecord& endpoint,
                                      std::optional<double> rate,
                                      Timestamp said_at) {
  const bool is_known = Find(endpoint) != nullptr;
  Entry& entry = entries_[endpoint.id];
  if (!is_known) {
    entry = Entry();
    entry.started_at_ms = endpoint.started_at_ms;
  }
  entry.said_at = said_at;
  if (rate && rate != entry.rate) {
    entry.allowance = RateAllowance::For(*rate);
    UpdateShare(endpoint.id, &entry);
  }
  entry.rate = rate;
  if (!IsNews(rate, entry.told_rate))
    return RateLimitChange::kNone;
  const bool was_limited = entry.told_rate.has_value();
  entry.told_rate = rate;
  entry.is_changed = true;
  if (!rate)
    return RateLimitChange::kLifted;
  return was_limited ? RateLimitChange::kChanged : RateLimitChange::kNamed;
}

void RateLimitTable::UpdateShare(const std::string& endpoint_id,
                                 Entry* entry) const {
  entry->share =
      RateLimitShare::For(entry->allowance, endpoint_id, self_, nodes_);
}

RateLimitUpdate RateLimitTable::MakeUpdate(const std::string& endpoint_id,
                                           const Entry& entry,
                                           Timestamp now) {
  return {ShortHash(endpoint_id), StartKey(entry.started_at_ms), entry.rate,
          now - entry.said_at};
}

}  // namespace teaselthread
