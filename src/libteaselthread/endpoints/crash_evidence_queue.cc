#include "libteaselthread/endpoints/crash_evidence_queue.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace teaselthread {
namespace {

// A crashed engine needs over 3 s to restart. Until its new registration is
// known, its new incarnation cannot be told from the old one, so connections
// and bytes later than this after the break prove nothing.
constexpr Duration kSameIncarnationTime = std::chrono::milliseconds(1'500);
// Time between two probes of an engine that does not respond at all.
constexpr Duration kProbeInterval = std::chrono::milliseconds(300);
// Covers a restart of the engine and the time until its registration is known.
constexpr Duration kExpiry = std::chrono::seconds(5);

bool ShowsSameIncarnation(const PendingCrash& crash, Timestamp contact_at) {
  return contact_at >= crash.broke_at + CrashEvidenceQueue::kSettleTime &&
         contact_at < crash.broke_at + kSameIncarnationTime;
}

// Empty if the evidence is still pending.
std::optional<CrashVerdict> VerdictOn(const PendingCrash& crash,
                                      const EndpointTable& endpoints,
                                      Timestamp now) {
  const EndpointContact& contact = crash.engine->contact();
  if (endpoints.IsLeaving(*crash.engine))
    return CrashVerdict::kLeaving;
  if (contact.refused_at >= crash.broke_at)
    return CrashVerdict::kRefused;
  if (contact.misdirected_at >= crash.broke_at)
    return CrashVerdict::kMisdirected;
  if (endpoints.IsReplaced(*crash.engine, crash.broke_at_ms))
    return CrashVerdict::kReplaced;
  if (ShowsSameIncarnation(crash, contact.bytes_at))
    return CrashVerdict::kBytesReceived;
  if (ShowsSameIncarnation(crash, contact.accepted_at))
    return CrashVerdict::kAccepted;
  if (now - crash.broke_at >= kExpiry)
    return CrashVerdict::kExpired;
  return std::nullopt;
}

}  // namespace

std::string_view ToString(CrashVerdict verdict) {
  constexpr std::string_view kNames[] = {
      "confirmed-refused",     "confirmed-replaced",
      "confirmed-misdirected", "disproved-bytes",
      "disproved-accepted",    "disproved-leaving",
      "disproved-by-answers",  "expired"};
  return kNames[static_cast<size_t>(verdict)];
}

bool IsConfirmed(CrashVerdict verdict) {
  return verdict <= CrashVerdict::kMisdirected;
}

void CrashEvidenceQueue::Add(PendingCrash crash) {
  if (pending_.size() >= kMaxPending) {
    judged_.push_back({std::move(pending_.front()), CrashVerdict::kExpired});
    pending_.pop_front();
  }
  pending_.push_back(std::move(crash));
}

void CrashEvidenceQueue::OnAnswerBegun(const std::vector<std::string>& parts) {
  for (PendingCrash& crash : pending_) {
    std::erase_if(crash.parts, [&](const std::string& part) {
      return std::find(parts.begin(), parts.end(), part) != parts.end();
    });
    if (crash.parts.empty())
      judged_.push_back({crash, CrashVerdict::kAnswered});
  }
  std::erase_if(pending_,
                [](const PendingCrash& crash) { return crash.parts.empty(); });
}

std::vector<JudgedCrash> CrashEvidenceQueue::Judge(
    const EndpointTable& endpoints,
    Timestamp now) {
  std::vector<JudgedCrash> judged = std::exchange(judged_, {});
  std::deque<PendingCrash> undecided;
  for (PendingCrash& crash : pending_) {
    if (const auto verdict = VerdictOn(crash, endpoints, now))
      judged.push_back({std::move(crash), *verdict});
    else
      undecided.push_back(std::move(crash));
  }
  pending_ = std::move(undecided);
  return judged;
}

bool CrashEvidenceQueue::HasPending(const EndpointState& engine) const {
  return std::any_of(
      pending_.begin(), pending_.end(),
      [&](const PendingCrash& crash) { return crash.engine.get() == &engine; });
}

bool CrashEvidenceQueue::TakeProbe(const EndpointState& engine, Timestamp now) {
  bool is_due = false;
  for (PendingCrash& crash : pending_) {
    if (crash.engine.get() != &engine || now < crash.broke_at + kSettleTime ||
        now >= crash.broke_at + kSameIncarnationTime ||
        now < crash.probed_at + kProbeInterval)
      continue;
    crash.probed_at = now;
    is_due = true;
  }
  return is_due;
}

}  // namespace teaselthread
