#include "libteaselthread/endpoints/crash_evidence.h"

#include <algorithm>

namespace teaselthread {
namespace {

// Tags and lengths of the fields in which evidence is encoded, and the age.
constexpr size_t kMaxFieldBytes = 26;

}  // namespace

size_t CrashEvidence::open_crashes() const {
  return static_cast<size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [&](uint32_t crash) { return !cleared.contains(crash); }));
}

size_t CrashEvidence::known_crashes() const {
  return open_crashes() +
         static_cast<size_t>(std::count_if(
             overlapping.begin(), overlapping.end(), [&](uint32_t crash) {
               return !crashes.contains(crash) && !cleared.contains(crash);
             }));
}

size_t CrashEvidence::tried_crashes() const {
  return static_cast<size_t>(
      std::count_if(tried.begin(), tried.end(), [&](uint32_t crash) {
        return crashes.contains(crash) && !cleared.contains(crash);
      }));
}

size_t CrashEvidence::ByteSize() const {
  return kMaxFieldBytes + part.size() +
         sizeof(uint32_t) * (crashes.size() + cleared.size() +
                             overlapping.size() + tried.size());
}

void CrashEvidence::AddOverlapping(uint32_t crash) {
  if (overlapping.size() >= kMaxCrashes) {
    std::erase_if(overlapping,
                  [this](uint32_t known) { return cleared.contains(known); });
  }
  if (overlapping.size() < kMaxCrashes)
    overlapping.insert(crash);
}

void CrashEvidence::Trim() {
  std::erase_if(cleared, [this](uint32_t crash) { return !WasAt(crash); });
  std::erase_if(tried, [this](uint32_t crash) {
    return !crashes.contains(crash) || cleared.contains(crash);
  });
}

}  // namespace teaselthread
