#ifndef TEASELTHREAD_ENDPOINTS_CRASH_EVIDENCE_H_
#define TEASELTHREAD_ENDPOINTS_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// What is known of one prompt part whose requests were at crashing engines.
// Crashes are identified by a hash of the engine's incarnation.
struct CrashEvidence {
  // Limit on `crashes` and on `overlapping`.
  static constexpr size_t kMaxCrashes = 32;

  std::string part;
  std::set<uint32_t> crashes;
  // Those after which an engine has begun to answer a request with the part.
  std::set<uint32_t> cleared;
  // Crashes at which the part was, but not in a row with those in `crashes`.
  // They do not count towards blocking the part, but show that other parts of
  // requests at these crashes need not be to blame.
  std::set<uint32_t> overlapping;
  // Those that were open when an early trial was sent.
  std::set<uint32_t> tried;
  // Time since the latest crash. Only set in evidence that is sent to others.
  Duration age{};

  size_t open_crashes() const;
  // The open crashes and the overlapping ones that are not cleared.
  size_t known_crashes() const;
  bool WasAt(uint32_t crash) const {
    return crashes.contains(crash) || overlapping.contains(crash);
  }
  // The open crashes that were known when an early trial was sent.
  size_t tried_crashes() const;
  // Adds a crash that is not in a row with the others, as far as there is room.
  void AddOverlapping(uint32_t crash);
  // Forgets what became of crashes that are forgotten themselves.
  void Trim();
  // Upper bound of its encoded size.
  size_t ByteSize() const;

  friend auto operator<=>(const CrashEvidence&, const CrashEvidence&) = default;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ENDPOINTS_CRASH_EVIDENCE_H_
