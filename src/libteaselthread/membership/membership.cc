#include "libteaselthread/membership/membership.h"

#include <algorithm>
#include <cmath>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

constexpr size_t kMonitorCount = 4;
// Interval, in ticks, of the additional heartbeat to a member chosen in random
// round-robin order.
constexpr uint64_t kTicksPerRoundRobinStep = 4;
constexpr size_t kIndirectProbes = 2;
constexpr size_t kUpdatesPerHeartbeat = 6;
// Each update is sent this factor times log2(fleet size) times.
constexpr double kTransmitFactor = 3;

bool IsReachableStatus(MemberStatus status) {
  return status != MemberStatus::kDead;
}

}  // namespace

Membership::Membership(Member self,
                       std::vector<std::string> seed_addresses,
                       MembershipTiming timing,
                       uint64_t random_seed)
    : self_(std::move(self)),
      seed_addresses_(std::move(seed_addresses)),
      timing_(timing),
      random_(random_seed) {
  std::erase(seed_addresses_, self_.peer_address);
}

std::vector<SendHeartbeat> Membership::Tick(Timestamp now) {
  ExpireSuspicions(now);
  std::vector<SendHeartbeat> heartbeats;
  if (const Peer* monitor = NextMonitor())
    heartbeats.push_back({monitor->member.name, monitor->member.peer_address});
  if (++ticks_ % kTicksPerRoundRobinStep == 0) {
    if (const Peer* other = NextInRoundRobin())
      heartbeats.push_back({other->member.name, other->member.peer_address});
  }
  if (heartbeats.empty()) {
    for (const std::string& address : seed_addresses_)
      heartbeats.push_back({"", address});
  }
  return heartbeats;
}

std::vector<Member> Membership::PickUpdates() {
  std::vector<Peer*> pending;
  for (auto& [name, peer] : peers_) {
    if (peer.updates_sent < TransmitsPerUpdate())
      pending.push_back(&peer);
  }
  const size_t count = std::min(pending.size(), kUpdatesPerHeartbeat);
  std::partial_sort(pending.begin(), pending.begin() + count, pending.end(),
                    [](const Peer* a, const Peer* b) {
                      return a->updates_sent < b->updates_sent;
                    });
  std::vector<Member> updates;
  for (size_t i = 0; i < count; ++i) {
    ++pending[i]->updates_sent;
    updates.push_back(pending[i]->member);
  }
  return updates;
}

void Membership::OnContact(const Member& sender,
                           const std::vector<Member>& updates,
                           Timestamp now) {
  if (sender.name == self_.name)
    return;
  knows_fleet_ = true;
  ApplyUpdate(sender, now);
  for (const Member& update : updates)
    ApplyUpdate(update, now);
  auto found = peers_.find(sender.name);
  if (found == peers_.end())
    return;
  Peer& peer = found->second;
  if (peer.member.incarnation != sender.incarnation)
    return;
  peer.last_contact = now;
  // A peer that makes contact is not dead. The update about it is sent again,
  // so that the reply to this contact informs the peer of the suspicion and the
  // peer refutes it.
  if (peer.member.status >= MemberStatus::kSuspect)
    peer.updates_sent = 0;
}

std::vector<SendProbe> Membership::OnHeartbeatFailed(const std::string& name,
                                                     Timestamp now) {
  auto found = peers_.find(name);
  if (found == peers_.end())
    return {};
  const Member& target = found->second.member;
  std::vector<const Member*> probers;
  for (const auto& [peer_name, peer] : peers_) {
    if (peer_name != name && peer.member.status <= MemberStatus::kLeaving)
      probers.push_back(&peer.member);
  }
  if (probers.empty()) {
    MarkSuspect(found->second, now);
    return {};
  }
  std::shuffle(probers.begin(), probers.end(), random_);
  probers.resize(std::min(probers.size(), kIndirectProbes));
  std::vector<SendProbe> probes;
  for (const Member* prober : probers)
    probes.push_back({prober->peer_address, name, target.peer_address});
  return probes;
}

void Membership::OnProbeResult(const std::string& target,
                               bool reachable,
                               Timestamp now) {
  auto found = peers_.find(target);
  if (found == peers_.end() || reachable)
    return;
  MarkSuspect(found->second, now);
}

void Membership::OnPlatformList(const std::vector<Member>& leased,
                                Timestamp now) {
  knows_fleet_ = true;
  for (const Member& member : leased)
    ApplyUpdate(member, now);
}

void Membership::OnLeaseEnded(Incarnation incarnation) {
  const size_t erased = std::erase_if(peers_, [&](const auto& item) {
    const Member& known = item.second.member;
    return known.incarnation == incarnation &&
           known.status == MemberStatus::kDead;
  });
  if (erased > 0)
    OnPeersChanged();
}

void Membership::BeginLeaving() {
  self_.status = MemberStatus::kLeaving;
  ++self_.generation;
  ++revision_;
}

std::vector<const Member*> Membership::peers() const {
  std::vector<const Member*> members;
  for (const auto& [name, peer] : peers_)
    members.push_back(&peer.member);
  return members;
}

std::vector<const Member*> Membership::serving() const {
  std::vector<const Member*> members;
  if (self_.status == MemberStatus::kAlive)
    members.push_back(&self_);
  for (const auto& [name, peer] : peers_) {
    // A suspect keeps its endpoints until it is declared dead.
    if (peer.member.status == MemberStatus::kAlive ||
        peer.member.status == MemberStatus::kSuspect) {
      members.push_back(&peer.member);
    }
  }
  return members;
}

const Member* Membership::Find(const std::string& name) const {
  if (name == self_.name)
    return &self_;
  auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second.member;
}

const Member* Membership::FindIncarnation(Incarnation incarnation) const {
  if (incarnation == self_.incarnation)
    return &self_;
  for (const auto& [name, peer] : peers_) {
    if (peer.member.incarnation == incarnation)
      return &peer.member;
  }
  return nullptr;
}

bool Membership::InGoodStanding(Timestamp now) const {
  if (!knows_fleet_)
    return seed_addresses_.empty();
  size_t in_contact = 1;  // this node itself
  for (const std::string& name : monitors_) {
    const std::optional<Timestamp>& contact = peers_.at(name).last_contact;
    if (contact && now - *contact <= timing_.fence_timeout)
      ++in_contact;
  }
  return in_contact * 2 > monitors_.size() + 1;
}

void Membership::ApplyUpdate(const Member& update, Timestamp now) {
  if (update.name == self_.name) {
    ApplyUpdateAboutSelf(update);
    return;
  }
  auto [entry, is_new] = peers_.try_emplace(update.name, Peer{update, {}});
  Peer& peer = entry->second;
  if (!is_new && !Overrides(update, peer.member))
    return;
  const bool is_replacement =
      !is_new && peer.member.incarnation != update.incarnation;
  peer.member = update;
  peer.updates_sent = 0;
  if (is_replacement)
    peer.last_contact.reset();
  if (update.status == MemberStatus::kSuspect)
    peer.suspect_since = now;
  ++revision_;
  if (is_new)
    OnPeersChanged();
}

void Membership::ApplyUpdateAboutSelf(const Member& update) {
  const bool is_same_incarnation = update.incarnation == self_.incarnation;
  if (!is_same_incarnation || update.status <= self_.status)
    return;
  if (update.generation >= self_.generation)
    self_.generation = update.generation + 1;
}

void Membership::MarkSuspect(Peer& peer, Timestamp now) {
  if (peer.member.status >= MemberStatus::kSuspect)
    return;
  peer.member.status = MemberStatus::kSuspect;
  peer.suspect_since = now;
  peer.updates_sent = 0;
  ++revision_;
}

void Membership::ExpireSuspicions(Timestamp now) {
  for (auto& [name, peer] : peers_) {
    if (peer.member.status != MemberStatus::kSuspect ||
        now - peer.suspect_since < timing_.suspicion_timeout) {
      continue;
    }
    peer.member.status = MemberStatus::kDead;
    peer.updates_sent = 0;
    ++revision_;
  }
}

std::vector<std::string> Membership::PickMonitors() const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : peers_)
    names.push_back(name);
  const size_t count = std::min(names.size(), kMonitorCount);
  const RendezvousKey key(self_.name);
  std::partial_sort(names.begin(), names.begin() + count, names.end(),
                    [&key](const std::string& a, const std::string& b) {
                      return key.WeightOf(a) > key.WeightOf(b);
                    });
  names.resize(count);
  return names;
}

void Membership::OnPeersChanged() {
  ++revision_;
  round_robin_.clear();
  monitors_ = PickMonitors();
}

const Membership::Peer* Membership::NextMonitor() {
  if (monitors_.empty())
    return nullptr;
  // Dead monitors are contacted too, so that contact with one that was
  // unreachable is restored.
  return &peers_.at(monitors_[next_monitor_++ % monitors_.size()]);
}

const Membership::Peer* Membership::NextInRoundRobin() {
  if (round_robin_.empty()) {
    for (const auto& [name, peer] : peers_) {
      if (IsReachableStatus(peer.member.status))
        round_robin_.push_back(name);
    }
    std::shuffle(round_robin_.begin(), round_robin_.end(), random_);
  }
  while (!round_robin_.empty()) {
    auto found = peers_.find(round_robin_.back());
    round_robin_.pop_back();
    if (found != peers_.end())
      return &found->second;
  }
  return nullptr;
}

uint32_t Membership::TransmitsPerUpdate() const {
  const double fleet = static_cast<double>(peers_.size()) + 2;
  return static_cast<uint32_t>(std::ceil(kTransmitFactor * std::log2(fleet)));
}

}  // namespace teaselthread
