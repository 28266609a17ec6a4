#include "libteaselthread/endpoints/crash_suspects.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace teaselthread {
namespace {

// The range of the number of crashes that block a part. Callers' bound is five.
constexpr size_t kMinCrashesToBlock = 3;
constexpr size_t kMaxCrashesToBlock = 5;
// One more crash is needed to block a part for each of so many recent crashes
// without the part: up to two of those are common when one engine is replaced
// while another one fails.
constexpr size_t kOtherCrashesPerCrash = 3;
constexpr Duration kRecentTime = std::chrono::seconds(30);
// Crashes that are no further apart may have the same cause: requests with one
// part that were sent to several engines before the first of these crashed.
constexpr Duration kSameCauseTime = std::chrono::seconds(1);
constexpr size_t kMaxRecentCrashes = 256;
// Other nodes need this time to clear a part that engines do answer.
constexpr Duration kMinSuspicionTime = std::chrono::seconds(1);
// Time from the latest crash to a trial request; doubles with each failed
// trial.
constexpr Duration kTrialDelay = std::chrono::seconds(30);
constexpr size_t kMaxTrialDoublings = 5;
// Time from blocking a part to the early trial.
constexpr Duration kEarlyTrialDelay = std::chrono::seconds(1);
// The number of nodes that may send the early trial doubles at this interval.
// It covers the time in which all nodes learn of a trial.
constexpr Duration kTrialRankDelay = std::chrono::milliseconds(400);
// A request with several blocked parts shows less: if it crashes an engine, the
// trial is used up for all of them. Requests with one of them go first.
constexpr Duration kJointTrialDelay = std::chrono::seconds(2);
// An early trial that was neither answered nor crashed an engine for this long,
// as its response was lost, is repeated by the same node.
constexpr Duration kTrialTimeout = std::chrono::seconds(3);
// Evidence of parts that are not blocked is sent for this long after a change.
constexpr Duration kShareTime = std::chrono::seconds(10);
// Bounds the memory: callers choose the names of parts.
constexpr size_t kMaxSuspects = 1'024;
constexpr size_t kMaxPartLength = 64;
constexpr size_t kMaxCrashes = CrashEvidence::kMaxCrashes;
// Parts with so many open crashes are recorded, unless they are cleared within
// kMinSuspicionTime. Most engines that crash do so for another reason.
constexpr size_t kMinCrashesToRecord = 2;
constexpr size_t kMaxRecordedParts = 64;
// One of this many crashes of a part may lack evidence against the part that
// explains the others.
constexpr size_t kCrashesPerException = 4;
// The evidence of a crash from all nodes is complete after this time: the
// connection is probed, and two exchanges of heartbeats pass it on.
constexpr Duration kEvidenceTime = std::chrono::milliseconds(700);

}  // namespace

void CrashSuspects::OnCrash(const std::vector<std::string>& parts,
                            uint32_t crash,
                            Timestamp sent_at,
                            Timestamp broke_at) {
  // The crash of this incarnation is known, so a later one has crashed whose
  // registration is not known yet.
  const auto noted = recent_crashes_.find(crash);
  if (noted != recent_crashes_.end() &&
      sent_at > noted->second + kSameCauseTime)
    ++crash;
  NoteCrash(crash, broke_at);
  for (const std::string& part : parts) {
    Suspect* suspect = FindOrAdd(part, broke_at);
    if (!suspect)
      continue;
    CrashEvidence& evidence = suspect->evidence;
    // A crash may be confirmed later than those that followed it.
    const bool is_first =
        evidence.open_crashes() == 0 || broke_at < suspect->first_sent_at;
    const bool is_in_a_row = is_first || sent_at > suspect->last_crash_at;
    if (evidence.WasAt(crash))
      continue;
    if (is_in_a_row) {
      AddCrashes({crash}, broke_at, suspect);
      if (is_first)
        suspect->first_sent_at = sent_at;
    } else {
      evidence.AddOverlapping(crash);
      suspect->changed_at = std::max(suspect->changed_at, broke_at);
    }
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
    evidence.cleared.insert(evidence.overlapping.begin(),
                            evidence.overlapping.end());
    found->second.changed_at = now;
    // A single crash blocks nothing, so its clearing is not urgent.
    is_urgent_ = is_urgent_ || open > 1;
    cleared.push_back(part);
  }
  return cleared;
}

bool CrashSuspects::Merge(const CrashEvidence& evidence, Timestamp now) {
  if (evidence.crashes.size() > kMaxCrashes ||
      evidence.overlapping.size() > kMaxCrashes ||
      evidence.cleared.size() > 2 * kMaxCrashes)
    return false;
  Suspect* suspect = FindOrAdd(evidence.part, now);
  if (!suspect)
    return false;
  const CrashEvidence before = suspect->evidence;
  suspect->evidence.cleared.insert(evidence.cleared.begin(),
                                   evidence.cleared.end());
  for (const uint32_t crash : evidence.overlapping) {
    if (!suspect->evidence.cleared.contains(crash))
      suspect->evidence.AddOverlapping(crash);
  }
  const Duration age = std::clamp(evidence.age, Duration::zero(), kRetention);
  AddCrashes(evidence.crashes, now - age, suspect);
  if (suspect->evidence.crashes != before.crashes)
    suspect->first_sent_at = {};
  for (const uint32_t crash : evidence.tried) {
    if (!suspect->evidence.cleared.contains(crash))
      suspect->evidence.tried.insert(crash);
  }
  if (suspect->evidence.tried != before.tried) {
    suspect->trial_at = now;
    suspect->sent_trial = false;
  }
  suspect->evidence.Trim();
  if (suspect->evidence == before)
    return false;
  suspect->changed_at = now;
  return true;
}

std::vector<CrashEvidence> CrashSuspects::ToRecord(Timestamp now) {
  std::vector<const Suspect*> recorded;
  for (auto& [part, suspect] : suspects_) {
    const bool is_suspect =
        suspect.evidence.open_crashes() >= kMinCrashesToRecord &&
        now - suspect.first_crash_at >= kMinSuspicionTime;
    suspect.is_recorded = suspect.is_recorded || is_suspect;
    if (suspect.is_recorded && now - suspect.changed_at < kRetention)
      recorded.push_back(&suspect);
  }
  if (recorded.size() > kMaxRecordedParts) {
    std::sort(recorded.begin(), recorded.end(),
              [](const Suspect* a, const Suspect* b) {
                return std::pair(a->evidence.open_crashes(), a->changed_at) >
                       std::pair(b->evidence.open_crashes(), b->changed_at);
              });
    recorded.resize(kMaxRecordedParts);
  }
  std::vector<CrashEvidence> evidence;
  for (const Suspect* suspect : recorded) {
    evidence.push_back(suspect->evidence);
    evidence.back().age =
        std::max(now - suspect->last_crash_at, Duration::zero());
  }
  return evidence;
}

void CrashSuspects::MergeRecorded(CrashEvidence evidence,
                                  Duration age,
                                  Timestamp now) {
  evidence.age += age;
  const bool is_forgotten = evidence.age >= kRetention;
  if (is_forgotten)
    return;
  Merge(evidence, now);
  const auto found = suspects_.find(evidence.part);
  if (found != suspects_.end())
    found->second.is_recorded = true;
}

std::optional<std::string> CrashSuspects::FindBlocked(
    const std::vector<std::string>& parts,
    Timestamp now) const {
  for (const std::string& part : parts) {
    if (IsToBlame(part, parts, now))
      return part;
  }
  return std::nullopt;
}

bool CrashSuspects::IsToBlame(const std::string& part,
                              const std::vector<std::string>& parts,
                              Timestamp now) const {
  const auto found = suspects_.find(part);
  return found != suspects_.end() && IsBlocked(found->second, now) &&
         !IsExplainedByAbsent(found->second, parts, now);
}

bool CrashSuspects::IsExplainedByAbsent(const Suspect& suspect,
                                        const std::vector<std::string>& parts,
                                        Timestamp now) const {
  return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& item) {
    const auto& [name, other] = item;
    return std::find(parts.begin(), parts.end(), name) == parts.end() &&
           MayBeBlocked(other, now) &&
           IsExplainedBy(suspect.evidence, other.evidence, now);
  });
}

bool CrashSuspects::IsExplainedBy(const CrashEvidence& part,
                                  const CrashEvidence& other,
                                  Timestamp now) const {
  const auto is_exception = [&](uint32_t crash) {
    const auto noted = recent_crashes_.find(crash);
    const bool is_complete =
        noted == recent_crashes_.end() || now - noted->second >= kEvidenceTime;
    return is_complete && !part.cleared.contains(crash) &&
           (!other.WasAt(crash) || other.cleared.contains(crash));
  };
  const auto exceptions = static_cast<size_t>(
      std::count_if(part.crashes.begin(), part.crashes.end(), is_exception));
  return exceptions <= part.open_crashes() / kCrashesPerException;
}

bool CrashSuspects::TakeTrial(const std::string& part,
                              bool is_responsible,
                              Timestamp now) {
  const auto found = suspects_.find(part);
  if (found == suspects_.end() || !is_responsible)
    return false;
  Suspect& suspect = found->second;
  const size_t failed =
      suspect.evidence.open_crashes() - suspect.crashes_to_block;
  const Duration delay =
      kTrialDelay * (1 << std::min(failed, kMaxTrialDoublings));
  if (now - std::max(suspect.last_crash_at, suspect.trial_at) < delay)
    return false;
  suspect.trial_at = now;
  return true;
}

bool CrashSuspects::TakeEarlyTrial(const std::vector<std::string>& parts,
                                   size_t rank,
                                   Timestamp now) {
  std::vector<Suspect*> blamed;
  for (const std::string& part : parts) {
    if (IsToBlame(part, parts, now))
      blamed.push_back(&suspects_.at(part));
  }
  const Duration delay = std::bit_width(rank) * kTrialRankDelay +
                         (blamed.size() > 1 ? kJointTrialDelay : Duration(0));
  const bool is_due =
      std::all_of(blamed.begin(), blamed.end(), [&](const Suspect* suspect) {
        return IsEarlyTrialDue(*suspect, delay, now);
      });
  if (blamed.empty() || !is_due)
    return false;
  for (Suspect* suspect : blamed) {
    CrashEvidence& evidence = suspect->evidence;
    std::set_difference(evidence.crashes.begin(), evidence.crashes.end(),
                        evidence.cleared.begin(), evidence.cleared.end(),
                        std::inserter(evidence.tried, evidence.tried.end()));
    suspect->sent_trial = true;
    suspect->trial_at = now;
    suspect->changed_at = now;
  }
  is_urgent_ = true;
  return true;
}

bool CrashSuspects::IsEarlyTrialDue(const Suspect& suspect,
                                    Duration delay,
                                    Timestamp now) const {
  const CrashEvidence& evidence = suspect.evidence;
  if (evidence.known_crashes() >= kMaxCrashesToBlock)
    return false;
  if (evidence.tried_crashes() == 0) {
    const Timestamp blocked_at = std::max(
        suspect.last_crash_at, suspect.first_crash_at + kMinSuspicionTime);
    return now - blocked_at >= kEarlyTrialDelay + delay;
  }
  return suspect.sent_trial &&
         evidence.tried_crashes() == evidence.open_crashes() &&
         now - suspect.trial_at >= kTrialTimeout;
}

std::vector<CrashEvidence> CrashSuspects::ToShare(size_t max_bytes,
                                                  Timestamp now) const {
  std::vector<const Suspect*> recent;
  for (const auto& [part, suspect] : suspects_) {
    if (now - suspect.changed_at < kShareTime || IsBlocked(suspect, now))
      recent.push_back(&suspect);
  }
  // What was cleared lately is as important as what has crashed lately.
  std::sort(recent.begin(), recent.end(),
            [&](const Suspect* a, const Suspect* b) {
              return std::pair(IsBlocked(*a, now), a->changed_at) >
                     std::pair(IsBlocked(*b, now), b->changed_at);
            });
  std::vector<CrashEvidence> evidence;
  size_t bytes = 0;
  for (const Suspect* suspect : recent) {
    CrashEvidence item = WithoutOld(suspect->evidence, now);
    item.age = std::max(now - suspect->last_crash_at, Duration::zero());
    bytes += item.ByteSize();
    if (bytes > max_bytes)
      break;
    evidence.push_back(std::move(item));
  }
  return evidence;
}

CrashEvidence CrashSuspects::WithoutOld(CrashEvidence evidence,
                                        Timestamp now) const {
  const auto is_old = [&](uint32_t crash) {
    const auto noted = recent_crashes_.find(crash);
    return evidence.cleared.contains(crash) &&
           (noted == recent_crashes_.end() ||
            now - noted->second >= kShareTime);
  };
  std::erase_if(evidence.crashes, is_old);
  std::erase_if(evidence.overlapping, is_old);
  evidence.Trim();
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
  const size_t open = suspect.evidence.open_crashes();
  return open > 0 && open >= suspect.crashes_to_block &&
         now - suspect.first_crash_at >= kMinSuspicionTime;
}

bool CrashSuspects::MayBeBlocked(const Suspect& suspect, Timestamp now) const {
  const CrashEvidence& evidence = suspect.evidence;
  return evidence.open_crashes() > 0 &&
         evidence.known_crashes() >= suspect.crashes_to_block &&
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
                               Timestamp crashed_at,
                               Suspect* suspect) {
  const size_t open_before = suspect->evidence.open_crashes();
  CrashEvidence& evidence = suspect->evidence;
  for (const uint32_t crash : crashes) {
    if (evidence.crashes.contains(crash))
      continue;
    const bool is_cleared = evidence.cleared.contains(crash);
    const bool is_full = evidence.crashes.size() >= kMaxCrashes;
    if (is_full && (is_cleared || !MakeRoom(&evidence)))
      continue;
    evidence.crashes.insert(crash);
    // Cleared ones may be old: only the age of the latest crash is sent.
    if (!is_cleared)
      NoteCrash(crash, crashed_at);
  }
  const size_t open = suspect->evidence.open_crashes();
  if (open <= open_before)
    return;
  const bool was_blocking =
      open_before > 0 && open_before >= suspect->crashes_to_block;
  if (open_before == 0) {
    suspect->first_crash_at = crashed_at;
    suspect->last_crash_at = crashed_at;
  }
  suspect->first_crash_at = std::min(suspect->first_crash_at, crashed_at);
  suspect->last_crash_at = std::max(suspect->last_crash_at, crashed_at);
  suspect->changed_at = std::max(suspect->changed_at, crashed_at);
  if (!was_blocking) {
    suspect->crashes_to_block =
        CrashesToBlock(suspect->evidence, suspect->last_crash_at);
  }
}

size_t CrashSuspects::CrashesToBlock(const CrashEvidence& evidence,
                                     Timestamp now) const {
  return std::min(kMinCrashesToBlock +
                      CrashesWithout(evidence, now) / kOtherCrashesPerCrash,
                  kMaxCrashesToBlock);
}

size_t CrashSuspects::CrashesWithout(const CrashEvidence& evidence,
                                     Timestamp now) const {
  std::vector<Timestamp> own;
  for (const uint32_t crash : evidence.crashes) {
    const auto found = recent_crashes_.find(crash);
    if (found != recent_crashes_.end())
      own.push_back(found->second);
  }
  const auto is_other = [&](const auto& item) {
    const auto& [crash, at] = item;
    return now - at < kRecentTime && !evidence.WasAt(crash) &&
           std::none_of(own.begin(), own.end(), [at = at](Timestamp own_at) {
             return std::chrono::abs(at - own_at) < kSameCauseTime;
           });
  };
  return static_cast<size_t>(
      std::count_if(recent_crashes_.begin(), recent_crashes_.end(), is_other));
}

bool CrashSuspects::MakeRoom(CrashEvidence* evidence) const {
  const auto noted_at = [this](uint32_t crash) {
    const auto found = recent_crashes_.find(crash);
    return found == recent_crashes_.end() ? Timestamp{} : found->second;
  };
  std::optional<uint32_t> oldest;
  for (const uint32_t crash : evidence->crashes) {
    if (evidence->cleared.contains(crash) &&
        (!oldest || noted_at(crash) < noted_at(*oldest)))
      oldest = crash;
  }
  if (!oldest)
    return false;
  evidence->crashes.erase(*oldest);
  evidence->overlapping.erase(*oldest);
  evidence->Trim();
  return true;
}

void CrashSuspects::NoteCrash(uint32_t crash, Timestamp crashed_at) {
  if (!recent_crashes_.try_emplace(crash, crashed_at).second)
    return;
  std::erase_if(recent_crashes_, [&](const auto& item) {
    return crashed_at - item.second >= kRecentTime;
  });
  if (recent_crashes_.size() <= kMaxRecentCrashes)
    return;
  recent_crashes_.erase(std::min_element(
      recent_crashes_.begin(), recent_crashes_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; }));
}

}  // namespace teaselthread
