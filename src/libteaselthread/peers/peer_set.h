#ifndef TEASELTHREAD_PEERS_PEER_SET_H_
#define TEASELTHREAD_PEERS_PEER_SET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libteaselthread/settings.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// A node as it describes itself to the others.
struct Peer {
  std::string name;
  std::string zone;
  SocketAddress peer_address;   // takes heartbeats
  SocketAddress front_address;  // takes callers' requests
  bool serving = false;         // takes new callers

  friend auto operator<=>(const Peer&, const Peer&) = default;
};

// The other nodes, by their heartbeats. Nodes need no agreement: each list is
// one node's belief, used for the addresses that callers get and for shares of
// limits.
class PeerSet {
 public:
  PeerSet(Peer self, Duration heartbeat_timeout);

  const Peer& self() const { return self_; }
  void SetServing(bool serving) { self_.serving = serving; }

  void OnHeartbeat(const Peer& peer, Timestamp now);
  // A node that is known by its record only.
  void OnRecord(const Peer& peer, Timestamp now);

  // Nodes that take new callers, this one included if it does. Only nodes of
  // `zone` if it has at least kMinZoneNodes of them.
  std::vector<Peer> ServingFor(const std::string& zone, Timestamp now) const;
  // All nodes that may be alive, this one included. A node that fell silent
  // counts for kMemory more, since it may only be cut off.
  std::vector<std::string> PossiblyAlive(Timestamp now) const;
  // Where heartbeats go.
  std::vector<SocketAddress> HeartbeatTargets(Timestamp now) const;
  size_t alive_count(Timestamp now) const;

  static constexpr size_t kMinZoneNodes = 2;
  // Longer than a cut or a restart usually lasts.
  static constexpr Duration kMemory = std::chrono::seconds(45);

 private:
  struct Entry {
    Peer peer;
    Timestamp mentioned_at{};  // by itself or by its record
    Timestamp heard_at{};      // by its own heartbeat
    bool heard = false;
  };

  bool IsAlive(const Entry& entry, Timestamp now) const {
    return entry.heard && now - entry.heard_at <= heartbeat_timeout_;
  }

  Peer self_;
  Duration heartbeat_timeout_;
  std::map<std::string, Entry> entries_;  // by name
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_PEER_SET_H_
