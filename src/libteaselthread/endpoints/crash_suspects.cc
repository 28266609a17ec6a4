#include "libteaselthread/endpoints/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace teaselthread {
namespace {

constexpr size_t kCrashesToBlock = 3;
// Other nodes need this time to clear a part that engines do answer.
constexpr Duration kMinSuspicionTime = std::chrono::seconds(1);
// Time from the latest crash to a trial request; doubles with each failed
// trial.
constexpr Duration kTrialDelay = std::chrono::seconds(30);
constexpr size_t kMaxTrialDoublings = 5;
// Evidence that has not changed for this long is forgotten.
constexpr Duration kRetention = std::chrono::hours(1);
// Evidence of parts that are not blocked is sent for this long after a change.
constexpr Duration kShareTime = std::chrono::seconds(10);
// Bounds the memory: callers choose the names of parts.
constexpr size_t kMaxSuspects = 1'024;
constexpr size_t kMaxPartLength = 64;
constexpr size_t kMaxCrashes = 32;
// Tags and lengths of the fields in which evidence is encoded.
constexpr size_t kMaxFieldBytes = 12;
// One of this many crashes of a part may lack evidence against the part that
// explains the others.
constexpr size_t kCrashesPerException = 4;

// Whether the crashes speak against `other` as much as against `part`.
bool IsExplainedBy(const CrashEvidence& part, const CrashEvidence& other) {
  const auto exceptions = static_cast<size_t>(std::count_if(
      part.crashes.begin(), part.crashes.end(), [&](uint32_t crash) {
        return !part.cleared.contains(crash) &&
               (!other.crashes.contains(crash) ||
                other.cleared.contains(crash));
      }));
  return exceptions <= part.open_crashes() / kCrashesPerException;
}

}  // namespace

size_t CrashEvidence::open_crashes() const {
  return static_cast<size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [&](uint32_t crash) { return !cleared.contains(crash); }));
}

size_t CrashEvidence::ByteSize() const {
  return kMaxFieldBytes + part.size() +
         sizeof(uint32_t) * (crashes.size() + cleared.size());
}

void CrashSuspects::OnCrash(const std::vector<std::string>& parts,
                            uint32_t crash,
                            Timestamp sent_at,
                            Timestamp now) {
  for (const std::string& part : parts) {
    Suspect* suspect = FindOrAdd(part, now);
    if (!suspect)
      continue;
    const bool is_in_a_row = suspect->evidence.open_crashes() == 0 ||
                             sent_at > suspect->last_crash_at;
    CrashEvidence& evidence = suspect->evidence;
    if (evidence.crashes.size() >= kMaxCrashes && evidence.open_crashes() == 0)
      evidence = {part, {}, {}};
    if (!is_in_a_row || evidence.crashes.size() >= kMaxCrashes)
      continue;
    AddCrashes({crash}, now, suspect);
    is_urgent_ = true;
  }
}

std::vector<std::string> CrashSuspects::OnAnswerBegun(
    const std::vector<std::string>& parts,
    Timestamp now) {
  std::vector<std::string> cleared;
  for (const std::string& part : parts) {
    const auto found = suspects_.find(part);
    if (found == suspects_.end())
      continue;
    CrashEvidence& evidence = found->second.evidence;
    const size_t open = evidence.open_crashes();
    if (open == 0)
      continue;
    evidence.cleared = evidence.crashes;
    found->second.changed_at = now;
    // A single crash blocks nothing, so its clearing is not urgent.
    is_urgent_ = is_urgent_ || open > 1;
    cleared.push_back(part);
  }
  return cleared;
}

bool CrashSuspects::Merge(const CrashEvidence& evidence, Timestamp now) {
  if (evidence.crashes.size() > kMaxCrashes ||
      evidence.cleared.size() > kMaxCrashes)
    return false;
  Suspect* suspect = FindOrAdd(evidence.part, now);
  if (!suspect)
    return false;
  const CrashEvidence before = suspect->evidence;
  suspect->evidence.cleared.insert(evidence.cleared.begin(),
                                   evidence.cleared.end());
  AddCrashes(evidence.crashes, now, suspect);
  if (suspect->evidence == before)
    return false;
  suspect->changed_at = now;
  return true;
}

std::optional<std::string> CrashSuspects::FindBlocked(
    const std::vector<std::string>& parts,
    Timestamp now) const {
  for (const std::string& part : parts) {
    const auto found = suspects_.find(part);
    if (found != suspects_.end() && IsBlocked(found->second, now) &&
        !IsExplainedByAbsent(found->second, parts, now))
      return part;
  }
  return std::nullopt;
}

bool CrashSuspects::IsExplainedByAbsent(const Suspect& suspect,
                                        const std::vector<std::string>& parts,
                                        Timestamp now) const {
  return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& item) {
    const auto& [name, other] = item;
    return std::find(parts.begin(), parts.end(), name) == parts.end() &&
           IsBlocked(other, now) &&
           IsExplainedBy(suspect.evidence, other.evidence);
  });
}

bool CrashSuspects::TakeTrial(const std::string& part,
                              bool is_responsible,
                              Timestamp now) {
  const auto found = suspects_.find(part);
  if (found == suspects_.end() || !is_responsible)
    return false;
  Suspect& suspect = found->second;
  const size_t failed = suspect.evidence.open_crashes() - kCrashesToBlock;
  const Duration delay =
      kTrialDelay * (1 << std::min(failed, kMaxTrialDoublings));
  if (now - std::max(suspect.last_crash_at, suspect.trial_at) < delay)
    return false;
  suspect.trial_at = now;
  return true;
}

std::vector<CrashEvidence> CrashSuspects::ToShare(size_t max_bytes,
                                                  Timestamp now) const {
  std::vector<const Suspect*> recent;
  for (const auto& [part, suspect] : suspects_) {
    if (now - suspect.changed_at < kShareTime || IsBlocked(suspect, now))
      recent.push_back(&suspect);
  }
  std::sort(recent.begin(), recent.end(),
            [](const Suspect* a, const Suspect* b) {
              return std::pair(a->evidence.open_crashes(), a->changed_at) >
                     std::pair(b->evidence.open_crashes(), b->changed_at);
            });
  std::vector<CrashEvidence> evidence;
  size_t bytes = 0;
  for (const Suspect* suspect : recent) {
    bytes += suspect->evidence.ByteSize();
    if (bytes > max_bytes)
      break;
    evidence.push_back(suspect->evidence);
  }
  return evidence;
}

bool CrashSuspects::TakeUrgent() {
  return std::exchange(is_urgent_, false);
}

size_t CrashSuspects::open_crashes(const std::string& part) const {
  const auto found = suspects_.find(part);
  return found == suspects_.end() ? 0 : found->second.evidence.open_crashes();
}

size_t CrashSuspects::blocked_count(Timestamp now) const {
  return static_cast<size_t>(std::count_if(
      suspects_.begin(), suspects_.end(),
      [&](const auto& item) { return IsBlocked(item.second, now); }));
}

bool CrashSuspects::IsBlocked(const Suspect& suspect, Timestamp now) const {
  return suspect.evidence.open_crashes() >= kCrashesToBlock &&
         now - suspect.first_crash_at >= kMinSuspicionTime;
}

CrashSuspects::Suspect* CrashSuspects::FindOrAdd(const std::string& part,
                                                 Timestamp now) {
  if (part.empty() || part.size() > kMaxPartLength)
    return nullptr;
  const auto found = suspects_.find(part);
  if (found != suspects_.end())
    return &found->second;
  std::erase_if(suspects_, [now](const auto& item) {
    return now - item.second.changed_at >= kRetention;
  });
  if (suspects_.size() >= kMaxSuspects) {
    const auto least = std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
          return std::pair(a.second.evidence.open_crashes(),
                           a.second.changed_at) <
                 std::pair(b.second.evidence.open_crashes(),
                           b.second.changed_at);
        });
    suspects_.erase(least);
  }
  Suspect& suspect = suspects_[part];
  suspect.evidence.part = part;
  suspect.changed_at = now;
  return &suspect;
}

void CrashSuspects::AddCrashes(const std::set<uint32_t>& crashes,
                               Timestamp now,
                               Suspect* suspect) {
  const size_t open_before = suspect->evidence.open_crashes();
  suspect->evidence.crashes.insert(crashes.begin(), crashes.end());
  const size_t open = suspect->evidence.open_crashes();
  if (open <= open_before)
    return;
  if (open_before == 0)
    suspect->first_crash_at = now;
  suspect->last_crash_at = now;
  suspect->changed_at = now;
}

}  // namespace teaselthread
