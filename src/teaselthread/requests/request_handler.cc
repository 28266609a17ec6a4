#include "teaselthread/requests/request_handler.h"

#include <utility>

#include "teaselthread/requests/hedged_attempt.h"

namespace teaselthread {
namespace {

std::string_view PathOf(const CallerHttpRequest& message) {
  const std::string_view target(message.target().data(),
                                message.target().size());
  return target.substr(0, target.find('?'));
}

}  // namespace

asio::awaitable<void> RequestHandler::Serve(const CallerHttpRequest& message,
                                            Timestamp received_at,
                                            tcp::socket* socket,
                                            ResponseWriter* writer) {
  state_->metrics().OnRequestRead();
  ClassifiedRequest request;
  request.head = state_->codec().DecodeCaller(message.base());
  request.host = std::string(message[http::field::host]);
  request.path = std::string(PathOf(message));
  request.received_at = received_at;
  const auto refusal = checks_.Apply(request);
  const Route* route = request.route;
  RequestAttempts attempts(route && route->IsRepeatable(),
                           route ? route->max_attempts : 1);
  const Timestamp deadline =
      refusal ? state_->Now() + std::chrono::seconds(1) : request.deadline;
  RequestExchange exchange(
      message, std::move(request), writer,
      std::make_shared<RequestGuard>(socket, GatewayState::ToSteady(deadline)),
      std::move(attempts));
  ++state_->requests_in_progress;
  exchanges_.insert(&exchange);
  if (refusal) {
    co_await final_responses_.Refuse(exchange, *refusal);
  } else {
    exchange.relay.set_on_first_event(
        [this, &exchange] { OnFirstEvent(exchange); });
    exchange.may_abandon = [this, &exchange](const Selection& selection,
                                             AttemptRole role) {
      return silent_attempts_.MayAbandon(exchange, selection, role);
    };
    exchange.guard->Start();
    co_await RunAttempts(exchange);
    exchange.guard->Finish();
  }
  --state_->requests_in_progress;
  exchanges_.erase(&exchange);
  log_.OnEnd(exchange);
}

void RequestHandler::LogCutRequests() {
  for (RequestExchange* exchange : exchanges_) {
    exchange->outcome = "cut";
    exchange->reason = "leaving";
    log_.OnEnd(*exchange);
  }
}

asio::awaitable<void> RequestHandler::RunAttempts(RequestExchange& exchange) {
  state_->RetryAllowanceFor(exchange.request.service->name)
      .OnRequest(state_->Now());
  state_->HedgePolicyFor(exchange.request.service->name)
      .OnRequest(state_->Now());
  const auto refusal = co_await resumed_streams_.Resolve(exchange);
  // The caller may have left meanwhile.
  const bool has_left =
      exchange.guard->interruption() == AttemptFailure::kCallerGone;
  if (has_left)
    Drop(exchange);
  else if (refusal)
    co_await final_responses_.Refuse(exchange, *refusal);
  bool is_final = has_left || refusal.has_value();
  while (!is_final)
    is_final = co_await RunAttempt(exchange);
}

asio::awaitable<bool> RequestHandler::RunAttempt(RequestExchange& exchange) {
  if (const auto refusal =
          checks_.CheckConfigurationFreshness(exchange.request)) {
    co_await final_responses_.EndWithoutAttempt(exchange, *refusal);
    co_return true;
  }
  if (crash_guard_.Blocks(exchange.request)) {
    co_await final_responses_.EndWithoutAttempt(
        exchange, RefusalReason::kCrashesEndpoints);
    co_return true;
  }
  const SelectionResult selected = co_await placement_.SelectOrWait(
      exchange.request, exchange.attempts, *exchange.guard);
  if (const auto* reason = std::get_if<NoEndpointReason>(&selected)) {
    OnRejection(exchange);
    co_await final_responses_.EndWithoutAttempt(exchange, ToRefusal(*reason));
    co_return true;
  }
  const auto select_hedge = [&](const std::set<std::string>& excluded) {
    return SelectForHedge(exchange, excluded);
  };
  const EndpointRecord& endpoint =
      std::get<Selection>(selected).endpoint->record();
  exchange.endpoint = endpoint.id;
  exchange.endpoint_version = endpoint.version;
  HedgedAttempt attempt(state_, &connections_, &crash_guard_, &placement_,
                        &exchange, std::get<Selection>(selected), select_hedge);
  auto [result, selection, role] = co_await attempt.Run();
  exchange.endpoint = selection.endpoint->record().id;
  bool is_final = true;
  if (result.failure) {
    co_await HandleFailure(exchange, selection, std::move(result), role,
                           &is_final);
  } else {
    exchange.outcome = "answered";
    exchange.status = 200;
    if (result.head) {
      crash_guard_.OnAnswerBegun(exchange.request);
      co_await final_responses_.Relay(exchange, std::move(result));
    }
    state_->metrics().OnResponse(exchange.request.route->kind,
                                 state_->Now() - exchange.request.received_at);
  }
  co_return is_final;
}

void RequestHandler::Drop(RequestExchange& exchange) {
  exchange.outcome = "dropped";
  exchange.reason = "caller-gone";
  exchange.writer->Abort();
}

// What another version writes does not continue the stream.
void RequestHandler::OnFirstEvent(RequestExchange& exchange) {
  crash_guard_.OnAnswerBegun(exchange.request);
  exchange.request.required_version = exchange.endpoint_version;
  resumed_streams_.OnFirstEvent(exchange);
}

asio::awaitable<void> RequestHandler::HandleFailure(RequestExchange& exchange,
                                                    const Selection& selection,
                                                    AttemptResult result,
                                                    AttemptRole role,
                                                    bool* is_final) {
  const AttemptFailure failure = *result.failure;
  if (failure == AttemptFailure::kRejected)
    OnRejection(exchange);
  const auto take_retry = [&] {
    return std::exchange(exchange.has_reserved_retry, false) ||
           state_->TryTakeRetry(exchange.request.service->name);
  };
  const NextStep step = exchange.attempts.OnFailure(
      failure, exchange.relay.begun(), exchange.CanResume(), take_retry, role);
  *is_final = step != NextStep::kRetry;
  state_->metrics().OnAttemptFailure(failure, !*is_final);
  log_.OnAttemptFailed(exchange, selection, result, !*is_final);
  switch (step) {
    case NextStep::kRetry:
      break;
    case NextStep::kDrop:
      Drop(exchange);
      break;
    case NextStep::kRelayError:
      co_await final_responses_.Relay(exchange, std::move(result));
      break;
    case NextStep::kRefuse:
      co_await final_responses_.Refuse(exchange, ToRefusal(failure));
      break;
    case NextStep::kReportUnknown:
      co_await final_responses_.ReportUnknownOutcome(exchange,
                                                     ToUnknown(failure));
      break;
  }
}

void RequestHandler::OnRejection(const RequestExchange& exchange) {
  state_->HedgePolicyFor(exchange.request.service->name)
      .OnRejection(state_->Now());
}

std::optional<Selection> RequestHandler::SelectForHedge(
    RequestExchange& exchange,
    const std::set<std::string>& excluded) {
  if (checks_.CheckConfigurationFreshness(exchange.request) ||
      crash_guard_.Blocks(exchange.request)) {
    return std::nullopt;
  }
  SelectionResult selected =
      placement_.Select(exchange.request, exchange.attempts, excluded);
  auto* selection = std::get_if<Selection>(&selected);
  if (!selection || selection->over_bound)
    return std::nullopt;
  return std::move(*selection);
}

}  // namespace teaselthread
