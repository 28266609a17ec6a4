#ifndef TEASELTHREAD_MEMBERSHIP_MEMBER_H_
#define TEASELTHREAD_MEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <string>

#include "libteaselthread/membership/incarnation.h"

namespace teaselthread {

// In the order in which one replaces another of the same generation.
enum class MemberStatus : uint8_t { kAlive, kLeaving, kSuspect, kDead };

// A node as its peers describe it to each other.
struct Member {
  std::string name;
  Incarnation incarnation;
  std::string zone;
  std::string peer_address;
  std::string caller_address;
  MemberStatus status = MemberStatus::kAlive;
  // Starts as the node's start time in wall clock microseconds, so that a
  // replacement of the same name outranks its predecessor; the node raises it
  // to refute a suspicion.
  uint64_t generation = 0;

  friend auto operator<=>(const Member&, const Member&) = default;
};

// Whether `candidate` replaces `known`, which describes the same node.
bool Outranks(const Member& candidate, const Member& known);

}  // namespace teaselthread

#endif  // TEASELTHREAD_MEMBERSHIP_MEMBER_H_
