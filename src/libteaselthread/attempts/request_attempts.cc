#include "libteaselthread/attempts/request_attempts.h"

#include <array>

namespace teaselthread {
namespace {

// Attempts that reach no endpoint cost callers time, not endpoints load.
constexpr uint32_t kMaxUnsentAttempts = 4;

struct FailureTraits {
  std::string_view name;
  bool proves_not_run;
};

// Indexed by AttemptFailure.
constexpr std::array<FailureTraits, kAttemptFailureCount> kTraits = {{
    {"unreachable", true},
    {"stale-connection", true},
    {"rejected", true},
    {"misdirected", true},
    {"server-error", false},
    {"broken", false},
    {"malformed", false},
    {"silent", false},
    {"timed-out", false},
    {"caller-gone", false},
}};

const FailureTraits& TraitsOf(AttemptFailure failure) {
  return kTraits[static_cast<size_t>(failure)];
}

}  // namespace

std::string_view ToString(AttemptFailure failure) {
  return TraitsOf(failure).name;
}

bool ProvesNotRun(AttemptFailure failure) {
  return TraitsOf(failure).proves_not_run;
}

RequestAttempts::RequestAttempts(bool is_repeatable, uint32_t max_attempts)
    : is_repeatable_(is_repeatable), max_attempts_(max_attempts) {}

void RequestAttempts::OnStart(const std::string& endpoint) {
  exposed_ = false;
  tried_.insert(endpoint);
}

void RequestAttempts::OnExposed() {
  exposed_ = true;
  ++sends_;
}

NextStep RequestAttempts::Decide(AttemptFailure failure,
                                 bool bytes_relayed,
                                 bool can_resume) {
  const bool was_run = exposed_ && !ProvesNotRun(failure);
  if (was_run) {
    may_have_run_ = true;
    ++runs_;
  } else if (exposed_) {
    ++rejected_sends_;
  } else {
    ++unsent_;
  }
  if (failure == AttemptFailure::kCallerGone)
    return NextStep::kDrop;
  const bool may_go_on =
      failure != AttemptFailure::kTimedOut && (!was_run || is_repeatable_) &&
      (!bytes_relayed || can_resume) && runs_ < max_attempts_ &&
      rejected_sends_ <= kMaxRejectedSends && unsent_ <= kMaxUnsentAttempts;
  return may_go_on ? NextStep::kRetry : Final(failure, bytes_relayed);
}

NextStep RequestAttempts::Final(AttemptFailure failure,
                                bool bytes_relayed) const {
  if (failure == AttemptFailure::kServerError && !bytes_relayed)
    return NextStep::kPassOn;
  return may_have_run_ ? NextStep::kGiveUp : NextStep::kRefuse;
}

}  // namespace teaselthread
