#include "libteaselthread/peers/peer_set.h"

#include <algorithm>
#include <set>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

// Heartbeats between zones are sent less often and get lost more often.
constexpr int kRemoteTimeoutMultiple = 3;
// The timeout in heartbeat intervals of the sender. Two consecutive heartbeats
// may get lost.
constexpr int kHeartbeatTimeoutIntervals = 3;
// The interval of a zone of 500 nodes. Longer intervals in a heartbeat are
// treated as errors of the sender and capped to this value.
constexpr Duration kMaxHeartbeatInterval = PeerSet::kIntervalPerNode * 500;

// Nodes that started together with this one may not have had a record yet when
// this node read the records. Until kDiscoveryTime has passed, when all of them
// are known, this node assumes that there are at least as many nodes as in a
// small fleet.
constexpr size_t kAssumedStartupNodes = 8;
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(4'000);

}  // namespace

uint32_t PeerSet::RequestsOf(const Entry& entry, uint32_t service) {
  const auto found = entry.requests.find(service);
  return found == entry.requests.end() ? 0 : found->second;
}

PeerSet::PeerSet(Peer self, Duration heartbeat_timeout)
    : self_(std::move(self)), heartbeat_timeout_(heartbeat_timeout) {}

void PeerSet::OnIdentity(const Peer& peer, Timestamp now) {
  if (peer.name == self_.name)
    return;
  Entry& entry = entries_[peer.name];
  entry.peer = peer;
  entry.last_seen_at = now;
}

void PeerSet::OnRecordsRead(Timestamp now) {
  if (!records_read_at_)
    records_read_at_ = now;
}

bool PeerSet::OnHeartbeat(const SocketAddress& from,
                          const PeerStatus& status,
                          Timestamp now) {
  for (auto& [name, entry] : entries_) {
    if (entry.peer.peer_address != from)
      continue;
    entry.peer.serving = status.serving;
    entry.last_seen_at = now;
    entry.last_heartbeat_at = now;
    entry.has_sent_heartbeat = true;
    entry.status = status;
    if (status.requests)
      entry.requests = *status.requests;
    return true;
  }
  return false;
}

void PeerSet::OnRecord(const Peer& peer, Timestamp now) {
  if (peer.name == self_.name)
    return;
  auto [found, is_new] = entries_.try_emplace(peer.name);
  Entry& entry = found->second;
  const bool was_replaced = !is_new &&
                            entry.peer.peer_address != peer.peer_address &&
                            !IsAlive(entry, now);
  if (is_new || was_replaced) {
    entry = Entry();
    entry.peer = peer;
  }
  entry.last_seen_at = now;
}

std::vector<Peer> PeerSet::ServingFor(const std::string& zone,
                                      Timestamp now) const {
  std::vector<Peer> serving;
  if (self_.serving)
    serving.push_back(self_);
  for (const auto& [name, entry] : entries_) {
    if (entry.peer.serving && IsAlive(entry, now))
      serving.push_back(entry.peer);
  }
  const auto in_zone =
      std::count_if(serving.begin(), serving.end(),
                    [&](const Peer& peer) { return peer.zone == zone; });
  if (in_zone >= static_cast<int64_t>(kMinZoneNodes))
    std::erase_if(serving, [&](const Peer& peer) { return peer.zone != zone; });
  return serving;
}

std::vector<std::string> PeerSet::PossiblyAlive(Timestamp now) const {
  std::vector<std::string> names{self_.name};
  for (const auto& [name, entry] : entries_) {
    if (now - entry.last_seen_at <= kPeerRetention)
      names.push_back(name);
  }
  return names;
}

std::vector<std::string> PeerSet::NodesSharingLimits(Timestamp now) const {
  std::vector<std::string> names = PossiblyAlive(now);
  const size_t min_nodes = MinNodesSharingLimits(now);
  while (names.size() < min_nodes)
    names.push_back("unknown-" + std::to_string(names.size()));
  return names;
}

size_t PeerSet::MinNodesSharingLimits(Timestamp now) const {
  if (!records_read_at_)
    return kMaxFleetNodes;
  return now - *records_read_at_ < kDiscoveryTime ? kAssumedStartupNodes : 1;
}

bool PeerSet::IsAlive(const Entry& entry, Timestamp now) const {
  const bool is_remote = entry.peer.zone != self_.zone;
  const Duration timeout =
      std::max(heartbeat_timeout_,
               std::min(entry.status.interval, kMaxHeartbeatInterval) *
                   kHeartbeatTimeoutIntervals);
  return entry.has_sent_heartbeat &&
         now - entry.last_heartbeat_at <=
             (is_remote ? timeout * kRemoteTimeoutMultiple : timeout);
}

bool PeerSet::IsTarget(const Entry& entry, Timestamp now) const {
  return now - entry.last_seen_at <= kPeerRetention &&
         entry.peer.peer_address != self_.peer_address;
}

std::vector<SocketAddress> PeerSet::ZoneTargets(Timestamp now) const {
  std::set<SocketAddress> targets;
  for (const auto& [name, entry] : entries_) {
    if (entry.peer.zone == self_.zone && IsTarget(entry, now))
      targets.insert(entry.peer.peer_address);
  }
  return {targets.begin(), targets.end()};
}

std::vector<SocketAddress> PeerSet::RemoteTargets(Timestamp now) const {
  // Ordered by zone and by a weight that depends on both nodes, so that
  // different nodes of this zone send to different nodes of another zone.
  std::map<std::string, std::map<uint64_t, SocketAddress>> by_zone;
  const RendezvousKey key(self_.name);
  for (const auto& [name, entry] : entries_) {
    if (entry.peer.zone == self_.zone || !IsTarget(entry, now))
      continue;
    by_zone[entry.peer.zone].emplace(key.WeightOf(name),
                                     entry.peer.peer_address);
  }
  std::vector<SocketAddress> targets;
  for (const auto& [zone, by_weight] : by_zone) {
    size_t taken = 0;
    for (const auto& [weight, address] : by_weight) {
      if (taken++ == kRemoteTargets)
        break;
      targets.push_back(address);
    }
  }
  return targets;
}

std::optional<Timestamp> PeerSet::LastSentAt(const SocketAddress& from) const {
  const Entry* entry = FindByAddress(from);
  if (!entry || !entry->has_sent_heartbeat)
    return std::nullopt;
  return entry->status.sent_at;
}

bool PeerSet::IsZoneLeader(Timestamp now) const {
  bool precedes_all = true;
  bool precedes_serving = true;
  bool any_serving = false;
  for (const auto& [name, entry] : entries_) {
    if (entry.peer.zone != self_.zone || !IsAlive(entry, now))
      continue;
    const bool precedes_self = entry.peer.name < self_.name;
    any_serving = any_serving || entry.peer.serving;
    if (precedes_self)
      precedes_all = false;
    if (precedes_self && entry.peer.serving)
      precedes_serving = false;
  }
  if (self_.serving)
    return precedes_serving;
  return !any_serving && precedes_all;
}

std::set<std::string> PeerSet::LiveZoneNodes(Timestamp now) const {
  std::set<std::string> names;
  for (const auto& [name, entry] : entries_) {
    if (entry.peer.zone == self_.zone && IsAlive(entry, now))
      names.insert(name);
  }
  return names;
}

std::set<std::string> PeerSet::LiveOtherZones(Timestamp now) const {
  std::set<std::string> zones;
  for (const auto& [name, entry] : entries_) {
    if (entry.peer.zone != self_.zone && IsAlive(entry, now))
      zones.insert(entry.peer.zone);
  }
  return zones;
}

std::vector<SocketAddress> PeerSet::FirstOfZone(size_t count,
                                                Timestamp now) const {
  std::vector<SocketAddress> addresses;
  for (const auto& [name, entry] : entries_) {
    if (addresses.size() < count && entry.peer.zone == self_.zone &&
        IsAlive(entry, now))
      addresses.push_back(entry.peer.peer_address);
  }
  return addresses;
}

bool PeerSet::IsZonePeer(const SocketAddress& address) const {
  const Entry* entry = FindByAddress(address);
  return entry && entry->peer.zone == self_.zone;
}

Duration PeerSet::HeartbeatInterval(Duration shortest, Timestamp now) const {
  const auto in_zone =
      std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        return item.second.peer.zone == self_.zone && IsAlive(item.second, now);
      });
  return std::max(shortest, kIntervalPerNode * (in_zone + 1));
}

const PeerSet::Entry* PeerSet::FindByAddress(
    const SocketAddress& address) const {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        return item.second.peer.peer_address == address;
      });
  return found == entries_.end() ? nullptr : &found->second;
}

uint32_t PeerSet::ZoneRequests(uint32_t service,
                               uint32_t local_requests,
                               Timestamp now) const {
  uint32_t total = local_requests;
  for (const auto& [name, entry] : entries_) {
    if (entry.peer.zone == self_.zone && IsAlive(entry, now))
      total += RequestsOf(entry, service);
  }
  return total;
}

uint32_t PeerSet::FleetRequests(uint32_t service,
                                uint32_t local_requests,
                                Timestamp now) const {
  std::map<std::string, const Entry*> latest;  // by zone
  for (const auto& [name, entry] : entries_) {
    if (entry.peer.zone == self_.zone || !IsAlive(entry, now))
      continue;
    const Entry*& newest = latest[entry.peer.zone];
    if (!newest || newest->last_heartbeat_at < entry.last_heartbeat_at)
      newest = &entry;
  }
  uint32_t total = ZoneRequests(service, local_requests, now);
  for (const auto& [zone, entry] : latest)
    total += RequestsOf(*entry, service);
  return total;
}

bool PeerSet::MayServeElsewhere(Timestamp now) const {
  bool any_alive = false;
  for (const auto& [name, entry] : entries_) {
    if (entry.peer.zone != self_.zone || !IsAlive(entry, now))
      continue;
    if (entry.peer.serving)
      return true;
    any_alive = true;
  }
  return !any_alive;
}

size_t PeerSet::alive_count(Timestamp now) const {
  return static_cast<size_t>(
      1 + std::count_if(
              entries_.begin(), entries_.end(),
              [&](const auto& item) { return IsAlive(item.second, now); }));
}

}  // namespace teaselthread
