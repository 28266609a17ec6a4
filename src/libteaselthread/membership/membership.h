#ifndef TEASELTHREAD_MEMBERSHIP_MEMBERSHIP_H_
#define TEASELTHREAD_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libteaselthread/membership/member.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

struct MembershipTiming {
  Duration suspicion_timeout;  // from suspect to dead
  Duration fence_timeout;      // without contact to enough peers
};

// A heartbeat to send to `address`; `name` is empty for a seed.
struct SendHeartbeat {
  std::string name;
  std::string address;
  friend auto operator<=>(const SendHeartbeat&, const SendHeartbeat&) = default;
};

// A request to send to the peer at `via_address`, to probe `target`.
struct SendProbe {
  std::string via_address;
  std::string target;
  std::string target_address;
  friend auto operator<=>(const SendProbe&, const SendProbe&) = default;
};

// The node's view of its peers. Failure detection and dissemination follow
// SWIM (Das, Gupta and Motivala 2002): heartbeats to a few peers per interval,
// indirect probes before a suspicion, a timeout in which it can be refuted, and
// membership updates piggybacked on the heartbeats, so that a node's traffic
// does not grow with the fleet.
class Membership {
 public:
  Membership(Member self,
             std::vector<std::string> seed_addresses,
             MembershipTiming timing,
             uint64_t random_seed);

  // Call once per heartbeat interval.
  std::vector<SendHeartbeat> Tick(Timestamp now);

  // Updates to include in the next heartbeat or in the reply to one.
  std::vector<Member> PickUpdates();

  // A heartbeat, or the reply to one, was received from `sender`.
  void OnContact(const Member& sender,
                 const std::vector<Member>& updates,
                 Timestamp now);
  // A heartbeat to the member timed out. Returns the indirect probes to send.
  std::vector<SendProbe> OnHeartbeatFailed(const std::string& name,
                                           Timestamp now);
  void OnProbeResult(const std::string& target, bool reachable, Timestamp now);

  // Adds the unknown ones among the nodes that hold a lease in the platform.
  void OnPlatformList(const std::vector<Member>& leased, Timestamp now);
  // The incarnation's lease has expired or was released. Removes the member if
  // it is dead in this node's view too.
  void OnLeaseEnded(Incarnation incarnation);

  void BeginLeaving();

  const Member& self() const { return self_; }
  // Known peers of any status, excluding this node.
  std::vector<const Member*> peers() const;
  // The nodes that accept new requests, including this node.
  std::vector<const Member*> serving() const;
  const Member* Find(const std::string& name) const;
  const Member* FindIncarnation(Incarnation incarnation) const;

  // Increases whenever peers() or serving() may have changed.
  uint64_t revision() const { return revision_; }

  // Whether a majority of this node and its monitors has been in contact within
  // the fence timeout, so that the peers cannot consider this node dead. A node
  // that is not in good standing must not act as an owner.
  bool InGoodStanding(Timestamp now) const;

 private:
  struct Peer {
    Member member;
    std::optional<Timestamp> last_contact;
    Timestamp suspect_since{};
    uint32_t updates_sent = 0;
  };

  void ApplyUpdate(const Member& update, Timestamp now);
  void ApplyUpdateAboutSelf(const Member& update);
  void MarkSuspect(Peer& peer, Timestamp now);
  void ExpireSuspicions(Timestamp now);
  // Picks the monitors, the peers whose contact determines whether this node is
  // in good standing. They stay the same as long as the set of known peers does
  // not change.
  std::vector<std::string> PickMonitors() const;
  void OnPeersChanged();
  const Peer* NextMonitor();
  const Peer* NextInRoundRobin();
  uint32_t TransmitsPerUpdate() const;

  Member self_;
  std::vector<std::string> seed_addresses_;
  MembershipTiming timing_;
  std::mt19937_64 random_;
  std::map<std::string, Peer> peers_;
  std::vector<std::string> round_robin_;
  std::vector<std::string> monitors_;
  size_t next_monitor_ = 0;
  uint64_t ticks_ = 0;
  uint64_t revision_ = 0;
  bool knows_fleet_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_MEMBERSHIP_MEMBERSHIP_H_
