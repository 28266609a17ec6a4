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
  Duration fence_timeout;      // without enough peers' contact
};

// Asks for a heartbeat to `address`; `name` is empty for a seed.
struct SendHeartbeat {
  std::string name;
  std::string address;
  friend auto operator<=>(const SendHeartbeat&, const SendHeartbeat&) = default;
};

// Asks the peer `via` to probe the member `target`.
struct SendProbe {
  std::string via_address;
  std::string target;
  std::string target_address;
  friend auto operator<=>(const SendProbe&, const SendProbe&) = default;
};

// The node's view of its peers. Failure detection and dissemination follow
// SWIM (Das, Gupta and Motivala 2002): heartbeats to a few peers per interval,
// probes through others before a suspicion, a time to refute it, and news
// carried by the heartbeats, so that a node's traffic does not grow with the
// fleet.
class Membership {
 public:
  Membership(Member self,
             std::vector<std::string> seed_addresses,
             MembershipTiming timing,
             uint64_t random_seed);

  // Call once per heartbeat interval.
  std::vector<SendHeartbeat> Tick(Timestamp now);

  // News to put into the next heartbeat or its answer.
  std::vector<Member> PickUpdates();

  // A heartbeat, or the answer to one, has come from `sender`.
  void OnContact(const Member& sender,
                 const std::vector<Member>& updates,
                 Timestamp now);
  // A heartbeat to the member stayed without answer.
  std::vector<SendProbe> OnHeartbeatFailed(const std::string& name,
                                           Timestamp now);
  void OnProbeResult(const std::string& target, bool reachable, Timestamp now);

  // The nodes that have a lease in the platform; adds those unknown here.
  void OnPlatformList(const std::vector<Member>& leased, Timestamp now);
  // The incarnation's lease has lapsed or been given back: forgets it if it is
  // dead here too.
  void OnLeaseGone(Incarnation incarnation);

  void BeginLeaving();

  const Member& self() const { return self_; }
  // Known peers of any status, without this node itself.
  std::vector<const Member*> peers() const;
  // This node and its peers that take new work.
  std::vector<const Member*> serving() const;
  const Member* Find(const std::string& name) const;
  const Member* FindIncarnation(Incarnation incarnation) const;

  // Changes whenever peers() or serving() may have changed.
  uint64_t revision() const { return revision_; }

  // Whether enough of the peers that watch this node have been in contact
  // lately for it to be sure that they do not take it for dead. A node that
  // is not in good standing must not act as the owner of anything.
  bool InGoodStanding(Timestamp now) const;

 private:
  struct Peer {
    Member member;
    std::optional<Timestamp> last_contact;
    Timestamp suspect_since{};
    uint32_t updates_sent = 0;
  };

  void Learn(const Member& update, Timestamp now);
  void LearnAboutSelf(const Member& update);
  void Suspect(Peer& peer, Timestamp now);
  void ExpireSuspicions(Timestamp now);
  // The peers whose contact decides this node's standing: the same few for
  // as long as the fleet's list of nodes stays the same.
  std::vector<std::string> PickWitnesses() const;
  void OnPeersChanged();
  const Peer* NextWitness();
  const Peer* NextInCycle();
  uint32_t SendingsPerUpdate() const;

  Member self_;
  std::vector<std::string> seed_addresses_;
  MembershipTiming timing_;
  std::mt19937_64 random_;
  std::map<std::string, Peer> peers_;
  std::vector<std::string> cycle_;
  std::vector<std::string> witnesses_;
  size_t next_witness_ = 0;
  uint64_t ticks_ = 0;
  uint64_t revision_ = 0;
  bool knows_fleet_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_MEMBERSHIP_MEMBERSHIP_H_
