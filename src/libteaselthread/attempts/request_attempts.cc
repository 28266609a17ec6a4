#include "libteaselthread/attempts/request_attempts.h"

#include <array>

namespace teaselthread {
namespace {

// Attempts that send nothing put no load on endpoints, but they delay the
// caller.
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
    {"oversized", false},
    {"no-buffer-space", false},
    {"silent", false},
    {"timed-out", false},
    {"caller-gone", false},
    {"cancelled", false},
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

void RequestAttempts::OnStart(const std::string& endpoint, AttemptRole role) {
  send_started_[static_cast<size_t>(role)] = false;
  tried_.insert(endpoint);
}

void RequestAttempts::OnSendStarted(AttemptRole role) {
  send_started_[static_cast<size_t>(role)] = true;
  ++sends_;
}

void RequestAttempts::OnParallelFailure(AttemptFailure failure,
                                        AttemptRole role) {
  if (MayHaveRun(failure, role)) {
    may_have_run_ = true;
    ++runs_;
  } else if (has_sent(role)) {
    ++rejected_sends_;
  } else {
    ++unsent_;
  }
}

bool RequestAttempts::MayRetryAfter(AttemptFailure failure,
                                    bool bytes_relayed,
                                    bool can_resume,
                                    AttemptRole role) const {
  if (failure == AttemptFailure::kTimedOut ||
      failure == AttemptFailure::kCallerGone) {
    return false;
  }
  const bool maybe_ran = MayHaveRun(failure, role);
  const bool sent = has_sent(role);
  const uint32_t runs = runs_ + (maybe_ran ? 1 : 0);
  const uint32_t rejected_sends =
      rejected_sends_ + (sent && !maybe_ran ? 1 : 0);
  const uint32_t unsent = unsent_ + (sent ? 0 : 1);
  return (!maybe_ran || is_repeatable_) && (!bytes_relayed || can_resume) &&
         runs < max_attempts_ && rejected_sends <= kMaxRejectedSends &&
         unsent <= kMaxUnsentAttempts;
}

NextStep RequestAttempts::Decide(AttemptFailure failure,
                                 bool bytes_relayed,
                                 bool can_resume,
                                 AttemptRole role) {
  const bool may_retry =
      MayRetryAfter(failure, bytes_relayed, can_resume, role);
  OnParallelFailure(failure, role);
  if (failure == AttemptFailure::kCallerGone)
    return NextStep::kDrop;
  return may_retry ? NextStep::kRetry : FinalStep(failure, bytes_relayed);
}

NextStep RequestAttempts::FinalStep(AttemptFailure failure,
                                    bool bytes_relayed) const {
  if (failure == AttemptFailure::kServerError && !bytes_relayed)
    return NextStep::kRelayError;
  return may_have_run_ ? NextStep::kReportUnknown : NextStep::kRefuse;
}

}  // namespace teaselthread
