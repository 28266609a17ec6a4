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
  send_started_ = false;
  tried_.insert(endpoint);
}

void RequestAttempts::OnSendStarted() {
  send_started_ = true;
  ++sends_;
}

NextStep RequestAttempts::Decide(AttemptFailure failure,
                                 bool bytes_relayed,
                                 bool can_resume) {
  const bool maybe_ran = send_started_ && !ProvesNotRun(failure);
  if (maybe_ran) {
    may_have_run_ = true;
    ++runs_;
  } else if (send_started_) {
    ++rejected_sends_;
  } else {
    ++unsent_;
  }
  if (failure == AttemptFailure::kCallerGone)
    return NextStep::kDrop;
  const bool may_retry =
      failure != AttemptFailure::kTimedOut && (!maybe_ran || is_repeatable_) &&
      (!bytes_relayed || can_resume) && runs_ < max_attempts_ &&
      rejected_sends_ <= kMaxRejectedSends && unsent_ <= kMaxUnsentAttempts;
  return may_retry ? NextStep::kRetry : FinalStep(failure, bytes_relayed);
}

NextStep RequestAttempts::FinalStep(AttemptFailure failure,
                                    bool bytes_relayed) const {
  if (failure == AttemptFailure::kServerError && !bytes_relayed)
    return NextStep::kRelayError;
  return may_have_run_ ? NextStep::kReportUnknown : NextStep::kRefuse;
}

}  // namespace teaselthread
