#ifndef TEASELTHREAD_PEERS_PEER_SET_H_
#define TEASELTHREAD_PEERS_PEER_SET_H_

#include <cstdint>
#include <map>
#include <optional>
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

// Requests under way by service, under ShortHash of its name.
using ServiceRequests = std::map<uint32_t, uint32_t>;

// What a heartbeat says, beside who sent it. Times of the sender are on its own
// clock; `echoed_at` is on this node's.
struct PeerStatus {
  bool serving = false;
  uint64_t configuration_version = 0;
  // The store's revisions of the newest changes that the sender knows.
  uint64_t endpoints_revision = 0;
  uint64_t evacuations_revision = 0;
  // How long ago the sender's configuration was shown to be the newest.
  std::optional<Duration> configuration_age;
  Timestamp sent_at{};
  // When this node sent the latest heartbeat that has reached the sender.
  std::optional<Timestamp> echoed_at;
  // Between two heartbeats of the sender within its zone.
  Duration interval{};
  // The sender's own, or those of its whole availability zone if the recipient
  // is in another. Without them the earlier ones hold.
  std::optional<ServiceRequests> requests;

  friend auto operator<=>(const PeerStatus&, const PeerStatus&) = default;
};

// The other nodes, by their heartbeats. Nodes need no agreement: each list is
// one node's belief, used for the addresses that callers get and for shares of
// limits.
class PeerSet {
 public:
  PeerSet(Peer self, Duration heartbeat_timeout);

  const Peer& self() const { return self_; }
  void SetServing(bool serving) { self_.serving = serving; }

  // The sender has said who it is.
  void OnIdentity(const Peer& peer, Timestamp now);
  // False if no node with that address is known.
  bool OnHeartbeat(const SocketAddress& from,
                   const PeerStatus& status,
                   Timestamp now);
  // A node's record in the store.
  void OnRecord(const Peer& peer, Timestamp now);
  // The records of all nodes have been read.
  void OnRecordsRead(Timestamp now);

  // Nodes that take new callers, this one included if it does. Only nodes of
  // `zone` if it has at least kMinZoneNodes of them.
  std::vector<Peer> ServingFor(const std::string& zone, Timestamp now) const;
  // All nodes that may be alive, this one included. A node that fell silent
  // counts for kMemory more, since it may only be cut off.
  std::vector<std::string> PossiblyAlive(Timestamp now) const;
  // Those that share the limits of the fleet with this one: all that may be
  // alive, and nameless ones while this node cannot know of all, so that its
  // own share is not too large.
  //
  // Load pattern: an availability zone, or the fleet, comes back and serves
  // before its nodes have found the others.
  std::vector<std::string> NodesSharingLimits(Timestamp now) const;
  // Where heartbeats go: to every node of the own availability zone, and never
  // to this node itself, whose address an older record may name.
  std::vector<SocketAddress> ZoneTargets(Timestamp now) const;
  // To kRemoteTargets nodes in each other availability zone, less often.
  std::vector<SocketAddress> RemoteTargets(Timestamp now) const;
  // The sender's time of the latest heartbeat from that address.
  std::optional<Timestamp> LastSentAt(const SocketAddress& from) const;
  size_t alive_count(Timestamp now) const;
  // Requests of a service under way from the nodes of this availability zone
  // that are alive, given this node's own.
  uint32_t ZoneRequests(uint32_t service, uint32_t own, Timestamp now) const;
  // From all nodes.
  uint32_t FleetRequests(uint32_t service, uint32_t own, Timestamp now) const;
  // Whether this node is the one of its availability zone that asks the store
  // often, and tells the others of its zone how old the configuration is.
  bool IsZoneLeader(Timestamp now) const;
  // Between two heartbeats, so that their cost does not grow with the zone.
  Duration HeartbeatInterval(Duration shortest, Timestamp now) const;

  // The size that the product is made for.
  static constexpr size_t kLargestFleet = 410;
  static constexpr size_t kMinZoneNodes = 2;
  static constexpr size_t kRemoteTargets = 4;
  // Heartbeats within the zone for each one that crosses zones, whose bytes
  // are dear.
  static constexpr uint32_t kHeartbeatsPerRemoteHeartbeat = 4;
  // Nodes of the zone that one heartbeat tells of load, so that its cost does
  // not grow with the zone.
  static constexpr size_t kLoadUpdateTargets = 6;
  // Per node of the zone: 50 heartbeats a second, about 3 KB.
  static constexpr Duration kIntervalPerNode = std::chrono::milliseconds(20);
  // Longer than a cut or a restart usually lasts.
  static constexpr Duration kMemory = std::chrono::minutes(5);

 private:
  struct Entry {
    Peer peer;
    Timestamp mentioned_at{};  // by itself or by its record
    Timestamp heard_at{};      // by its own heartbeat
    bool heard = false;
    PeerStatus status;
    ServiceRequests requests;  // the latest that it has told
  };

  static uint32_t RequestsOf(const Entry& entry, uint32_t service);
  // Of how many nodes this one has to reckon with, known or not.
  size_t FewestSharers(Timestamp now) const;
  bool IsAlive(const Entry& entry, Timestamp now) const;
  bool IsTarget(const Entry& entry, Timestamp now) const;
  const Entry* FindByAddress(const SocketAddress& address) const;

  Peer self_;
  Duration heartbeat_timeout_;
  std::map<std::string, Entry> entries_;  // by name
  std::optional<Timestamp> records_read_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PEERS_PEER_SET_H_
