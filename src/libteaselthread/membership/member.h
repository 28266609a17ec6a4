#ifndef TEASELTHREAD_MEMBERSHIP_MEMBER_H_
#define TEASELTHREAD_MEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <string>

#include "libteaselthread/membership/incarnation.h"

namespace teaselthread {

// In ascending order of precedence: a later status overrides an earlier one of
// the same generation.
enum class MemberStatus : uint8_t { kAlive, kLeaving, kSuspect, kDead };

// A node's description, as nodes exchange it.
struct Member {
  std::string name;
  Incarnation incarnation;
  std::string zone;
  std::string peer_address;
  std::string caller_address;
  MemberStatus status = MemberStatus::kAlive;
  // Starts as the node's start time in wall clock microseconds, so that a
  // replacement with the same name overrides the previous process. The node
  // increases it to refute a suspicion.
  uint64_t generation = 0;

  friend auto operator<=>(const Member&, const Member&) = default;
};

// Whether `candidate` overrides `known`, a description of the same node.
bool Overrides(const Member& candidate, const Member& known);

}  // namespace teaselthread

#endif  // TEASELTHREAD_MEMBERSHIP_MEMBER_H_
