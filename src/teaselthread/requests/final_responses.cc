#include "teaselthread/requests/final_responses.h"

#include "libteaselthread/attempts/retry_after.h"
#include "teaselthread/callers/problem.h"

namespace teaselthread {

RefusalReason ToRefusal(NoEndpointReason reason) {
  switch (reason) {
    case NoEndpointReason::kAllPaused:
      return RefusalReason::kEndpointsPaused;
    case NoEndpointReason::kAllLimited:
      return RefusalReason::kEndpointsLimited;
    case NoEndpointReason::kAllCold:
      return RefusalReason::kEndpointsCold;
    case NoEndpointReason::kAllTried:
    case NoEndpointReason::kAllAtBound:
      return RefusalReason::kEndpointBusy;
    case NoEndpointReason::kNoneAvailable:
      break;
  }
  return RefusalReason::kNoEndpoint;
}

RefusalReason ToRefusal(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kUnreachable:
    case AttemptFailure::kStaleConnection:
    case AttemptFailure::kMisdirected:
      return RefusalReason::kEndpointUnreachable;
    case AttemptFailure::kTimedOut:
      return RefusalReason::kDeadlinePassed;
    default:
      return RefusalReason::kEndpointBusy;
  }
}

UnknownReason ToUnknown(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kTimedOut:
    case AttemptFailure::kSilent:
      return UnknownReason::kTimedOut;
    case AttemptFailure::kMalformed:
    case AttemptFailure::kOversized:
    case AttemptFailure::kNoBufferSpace:
      return UnknownReason::kTruncatedAnswer;
    default:
      return UnknownReason::kConnectionLost;
  }
}

asio::awaitable<void> FinalResponses::Relay(RequestExchange& exchange,
                                            AttemptResult result) {
  exchange.outcome = "answered";
  exchange.status = result.head->status;
  ResponseHead head = *std::move(result.head);
  std::string body = std::move(result.body);
  co_await exchange.writer->WriteResponse(std::move(head), std::move(body));
}

asio::awaitable<void> FinalResponses::Refuse(RequestExchange& exchange,
                                             RefusalReason reason) {
  state_->metrics().OnRefusal(reason);
  const double spread =
      std::uniform_real_distribution<double>(0, 1)(state_->random());
  std::optional<Duration> time_left = exchange.request.head.time_left;
  if (time_left)
    *time_left -= state_->Now() - exchange.request.received_at;
  const Duration pause = PauseFor(exchange, reason);
  const Duration retry_after = RetryAfterFor(reason, spread, time_left, pause);
  auto problem = MakeProblem(RefusedNotRun{reason, retry_after});
  if (retry_after > Duration::zero())
    problem.set(http::field::retry_after, RetryAfterText(retry_after));
  exchange.outcome = "refused";
  exchange.reason = ToString(reason);
  exchange.status = static_cast<int>(problem.result_int());
  ResponseHead head{exchange.status, problem.base()};
  std::string body = std::move(problem.body());
  co_await exchange.writer->WriteResponse(std::move(head), std::move(body));
}

Duration FinalResponses::PauseFor(const RequestExchange& exchange,
                                  RefusalReason reason) {
  const Timestamp now = state_->Now();
  const StoreRestoration& restoration = state_->store_restoration();
  if (reason == RefusalReason::kStreamOriginUnknown &&
      restoration.MayLackObjects(now)) {
    return restoration.complete_since() - now;
  }
  if (reason != RefusalReason::kEndpointsPaused &&
      reason != RefusalReason::kEndpointsLimited) {
    return Duration::zero();
  }
  const std::string& service = exchange.request.service->name;
  if (reason == RefusalReason::kEndpointsPaused) {
    return state_->endpoints()
        .ShortestPause(service, now)
        .value_or(Duration::zero());
  }
  return state_->ReturnScheduleFor(service).Next(
      state_->endpoints().RoomUnderRateLimits(service, {}, now),
      state_->WaitingFor(service).size(), now);
}

asio::awaitable<void> FinalResponses::EndWithoutAttempt(
    RequestExchange& exchange,
    RefusalReason reason) {
  if (exchange.attempts.may_have_run())
    co_await ReportUnknownOutcome(exchange, UnknownReason::kConnectionLost);
  else
    co_await Refuse(exchange, reason);
}

asio::awaitable<void> FinalResponses::ReportUnknownOutcome(
    RequestExchange& exchange,
    UnknownReason reason) {
  state_->metrics().OnUnknownOutcome();
  exchange.outcome = "unknown";
  exchange.reason = ToString(reason);
  if (exchange.relay.begun()) {
    state_->metrics().OnBrokenStream();
    exchange.writer->Abort();
    co_return;
  }
  auto problem = MakeProblem(MayHaveRun{reason});
  exchange.status = static_cast<int>(problem.result_int());
  ResponseHead head{exchange.status, problem.base()};
  std::string body = std::move(problem.body());
  co_await exchange.writer->WriteResponse(std::move(head), std::move(body));
}

}  // namespace teaselthread
