#ifndef TEASELTHREAD_PEERS_PEER_SET_H_
#define TEASELTHREAD_PEERS_PEER_SET_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libteaselthread/peers/store_changes.h"
#include "libteaselthread/settings.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// A node as it describes itself to the others.
struct Peer {
  std::string name;
  std::string zone;
  SocketAddress peer_address;   // receives heartbeats
  SocketAddress front_address;  // receives callers' requests
  bool serving = false;         // accepts new callers

  friend auto operator<=>(const Peer&, const Peer&) = default;
};

// Number of requests in progress for each service, keyed by ShortHash of the
// service name.
using ServiceRequests = std::map<uint32_t, uint32_t>;

// The content of a heartbeat, apart from the sender's identity. Times are on
// the sender's clock, except `echoed_at`, which is on this node's clock.
struct PeerStatus {
  bool serving = false;
  uint64_t configuration_version = 0;
  // The store revisions of the newest changes that the sender knows.
  uint64_t endpoints_revision = 0;
  uint64_t evacuations_revision = 0;
  StoreEpoch endpoints_epoch;
  StoreEpoch evacuations_epoch;
  // How long ago the sender's configuration was confirmed to be the newest.
  std::optional<Duration> configuration_age;
  Timestamp sent_at{};
  // When this node sent the latest of its heartbeats that the sender has
  // received.
  std::optional<Timestamp> echoed_at;
  // Time between two heartbeats of the sender to nodes of its zone.
  Duration interval{};
  // The sender's local requests, or those of its whole availability zone if the
  // receiver is in another one. If empty, the values received before stay
  // valid.
  std::optional<ServiceRequests> requests;
  // The lists that the sender watches as the zone leader, by RelayedList.
  std::array<std::optional<ListStatus>, kRelayedListCount> lists;

  friend auto operator<=>(const PeerStatus&, const PeerStatus&) = default;
};

// The other nodes, as known from their heartbeats and store records. Nodes need
// not agree: the set is the local view of one node, used for the addresses that
// callers get and for dividing limits between nodes.
class PeerSet {
 public:
  PeerSet(Peer self, Duration heartbeat_timeout);

  const Peer& self() const { return self_; }
  void SetServing(bool serving) { self_.serving = serving; }

  // A peer has sent its identity.
  void OnIdentity(const Peer& peer, Timestamp now);
  // Returns false if no node with that address is known.
  bool OnHeartbeat(const SocketAddress& from,
                   const PeerStatus& status,
                   Timestamp now);
  // A node's record was read from the store.
  void OnRecord(const Peer& peer, Timestamp now);
  // The records of all nodes have been read from the store.
  void OnRecordsRead(Timestamp now);

  // Nodes that accept new callers, including this one if it does. Only nodes of
  // `zone` if at least kMinZoneNodes of them accept callers.
  std::vector<Peer> ServingFor(const std::string& zone, Timestamp now) const;
  // Names of all nodes that may be alive, including this one. A node that no
  // longer sends heartbeats is included for another kPeerRetention, since it
  // may only be cut off by a network partition.
  std::vector<std::string> PossiblyAlive(Timestamp now) const;
  // Nodes that share the fleet's limits with this one: all that may be alive,
  // padded with placeholder names while this node may not know all nodes yet,
  // so that its own share is not too large.
  //
  // Load pattern: an availability zone, or the whole fleet, restarts and serves
  // requests before its nodes have discovered each other.
  std::vector<std::string> NodesSharingLimits(Timestamp now) const;
  // Destinations of heartbeats within this availability zone: every other node
  // of it. This node's own address is left out, since an outdated record may
  // contain it.
  std::vector<SocketAddress> ZoneTargets(Timestamp now) const;
  // Destinations of the less frequent heartbeats to other availability zones:
  // up to kRemoteTargets nodes in each.
  std::vector<SocketAddress> RemoteTargets(Timestamp now) const;
  // When the latest heartbeat from that address was sent, on the sender's
  // clock.
  std::optional<Timestamp> LastSentAt(const SocketAddress& from) const;
  size_t alive_count(Timestamp now) const;
  // Whether another node of this availability zone may accept callers. False
  // only if nodes of the zone are alive and none of them does, as during an
  // outage of the store; a node that hears no others is cut off itself.
  bool MayServeElsewhere(Timestamp now) const;
  // Requests in progress for a service, summed over the live nodes of this
  // availability zone. `local_requests`: those sent by this node.
  uint32_t ZoneRequests(uint32_t service,
                        uint32_t local_requests,
                        Timestamp now) const;
  // The same for the nodes of all availability zones.
  uint32_t FleetRequests(uint32_t service,
                         uint32_t local_requests,
                         Timestamp now) const;
  // Whether this node is the zone leader of its availability zone: the node
  // that watches the store and tells the other nodes of the zone what has
  // changed and how old the configuration is. It is the first one by name of
  // those that accept callers or, as during an outage of the store, of all if
  // none does. Nodes may disagree for a moment.
  bool IsZoneLeader(Timestamp now) const;
  // Names of the other live nodes of this availability zone.
  std::set<std::string> LiveZoneNodes(Timestamp now) const;
  // The other availability zones that have live nodes.
  std::set<std::string> LiveOtherZones(Timestamp now) const;
  // Addresses of up to `count` live nodes of this availability zone, the first
  // ones by name: the zone leader and its successors, without this node.
  std::vector<SocketAddress> FirstOfZone(size_t count, Timestamp now) const;
  // Whether the address belongs to another node of this availability zone.
  bool IsZonePeer(const SocketAddress& address) const;
  // Time between two heartbeats. It grows with the number of nodes in the zone,
  // so that the cost of the heartbeats does not.
  Duration HeartbeatInterval(Duration shortest, Timestamp now) const;

  // The largest fleet that the product is designed for.
  static constexpr size_t kMaxFleetNodes = 410;
  static constexpr size_t kMinZoneNodes = 2;
  static constexpr size_t kRemoteTargets = 4;
  // Heartbeats within the zone per heartbeat to other zones, because traffic
  // between zones is expensive.
  static constexpr uint32_t kHeartbeatsPerRemoteHeartbeat = 4;
  // Number of nodes of the zone that get a LoadUpdate with one heartbeat, so
  // that the cost does not grow with the size of the zone.
  static constexpr size_t kLoadUpdateTargets = 6;
  // Per node of the zone. This limits each node to 50 heartbeats a second,
  // about 3 KB.
  static constexpr Duration kIntervalPerNode = std::chrono::milliseconds(20);
  // Longer than a network partition or a restart usually lasts.
  static constexpr Duration kPeerRetention = std::chrono::minutes(5);

 private:
  struct Entry {
    Peer peer;
    Timestamp last_seen_at{};       // in a message from it or in its record
    Timestamp last_heartbeat_at{};  // received
    bool has_sent_heartbeat = false;
    PeerStatus status;
    ServiceRequests requests;  // from its latest heartbeat that contained any
  };

  static uint32_t RequestsOf(const Entry& entry, uint32_t service);
  // The smallest number of nodes, known or not, that this node assumes to share
  // the limits.
  size_t MinNodesSharingLimits(Timestamp now) const;
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
