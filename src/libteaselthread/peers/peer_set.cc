#include "libteaselthread/peers/peer_set.h"

#include <algorithm>

namespace teaselthread {

PeerSet::PeerSet(Peer self, Duration heartbeat_timeout)
    : self_(std::move(self)), heartbeat_timeout_(heartbeat_timeout) {}

void PeerSet::OnHeartbeat(const Peer& peer, Timestamp now) {
  if (peer.name == self_.name)
    return;
  entries_[peer.name] = {peer, now, now, true};
}

void PeerSet::OnRecord(const Peer& peer, Timestamp now) {
  if (peer.name == self_.name)
    return;
  auto [found, is_new] = entries_.try_emplace(peer.name);
  Entry& entry = found->second;
  const bool was_replaced =
      !is_new && entry.peer.peer_address != peer.peer_address &&
      !IsAlive(entry, now);
  if (is_new || was_replaced)
    entry = {peer, now, {}, false};
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
  const auto in_zone = std::count_if(
      serving.begin(), serving.end(),
      [&](const Peer& peer) { return peer.zone == zone; });
  if (in_zone >= static_cast<int64_t>(kMinZoneNodes))
    std::erase_if(serving, [&](const Peer& peer) { return peer.zone != zone; });
  return serving;
}

std::vector<std::string> PeerSet::PossiblyAlive(Timestamp now) const {
  std::vector<std::string> names{self_.name};
  for (const auto& [name, entry] : entries_) {
    if (now - entry.mentioned_at <= kMemory)
      names.push_back(name);
  }
  return names;
}

std::vector<SocketAddress> PeerSet::HeartbeatTargets(Timestamp now) const {
  std::vector<SocketAddress> targets;
  for (const auto& [name, entry] : entries_) {
    if (now - entry.mentioned_at <= kMemory)
      targets.push_back(entry.peer.peer_address);
  }
  return targets;
}

size_t PeerSet::alive_count(Timestamp now) const {
  return static_cast<size_t>(
      1 + std::count_if(entries_.begin(), entries_.end(),
                        [&](const auto& item) {
                          return IsAlive(item.second, now);
                        }));
}

}  // namespace teaselthread
