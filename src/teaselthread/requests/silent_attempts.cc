#include "teaselthread/requests/silent_attempts.h"

#include <utility>

namespace teaselthread {

bool SilentAttempts::MayAbandon(RequestExchange& exchange,
                                const Selection& selection,
                                AttemptRole role) {
  const SilenceDecision decision = Decide(exchange, role);
  const std::string& endpoint = selection.endpoint->record().id;
  const SilentAttempt current{endpoint, decision};
  if (exchange.silent_attempt != current) {
    exchange.silent_attempt = current;
    state_->metrics().OnSilence(decision);
    LogLine line("attempt-silent");
    line.Add("id", exchange.request.head.id)
        .Add("endpoint", endpoint)
        .Add("decision", ToString(decision))
        .Add("events", exchange.relay.events().event_count())
        .AddTime("elapsed", state_->Now() - exchange.request.received_at);
    state_->log().Info(line);
  }
  return decision == SilenceDecision::kAbandon;
}

SilenceDecision SilentAttempts::Decide(RequestExchange& exchange,
                                       AttemptRole role) {
  // The other attempt continues. It is not abandoned in its turn.
  if (std::exchange(exchange.runs_in_parallel, false))
    return SilenceDecision::kAbandon;
  if (!exchange.attempts.MayRetryAfter(AttemptFailure::kSilent,
                                       exchange.relay.begun(),
                                       exchange.CanResume(), role)) {
    return SilenceDecision::kNoAttemptLeft;
  }
  if (checks_->CheckConfigurationFreshness(exchange.request))
    return SilenceDecision::kStaleConfiguration;
  if (crash_guard_->IsSuspect(exchange.request))
    return SilenceDecision::kBlockedPrompt;
  if (!placement_->CanContinueElsewhere(exchange.request, exchange.attempts))
    return SilenceDecision::kNoEndpoint;
  if (!exchange.has_reserved_retry) {
    exchange.has_reserved_retry =
        state_->TryTakeRetry(exchange.request.service->name);
  }
  return exchange.has_reserved_retry ? SilenceDecision::kAbandon
                                     : SilenceDecision::kRetryLimit;
}

}  // namespace teaselthread
