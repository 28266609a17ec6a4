#include "teaselthread/gateway/request_handler.h"

#include <algorithm>

#include "libteaselthread/attempts/retry_after.h"
#include "teaselthread/callers/problem.h"

namespace teaselthread {
namespace {

std::string_view PathOf(const CallerHttpRequest& message) {
  const std::string_view target(message.target().data(),
                                message.target().size());
  return target.substr(0, target.find('?'));
}

RefusalReason ToRefusal(NoEndpointReason reason) {
  switch (reason) {
    case NoEndpointReason::kAllPaused:
      return RefusalReason::kEndpointsPaused;
    case NoEndpointReason::kAllCold:
      return RefusalReason::kEndpointsCold;
    case NoEndpointReason::kAllTried:
    case NoEndpointReason::kAllAtBound:
    case NoEndpointReason::kNoTokenRoom:
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

}  // namespace

// State of one caller's request while it is served.
struct RequestHandler::Exchange {
  Exchange(const CallerHttpRequest& message,
           ClassifiedRequest request,
           ResponseWriter* writer,
           std::shared_ptr<RequestGuard> guard,
           RequestAttempts attempts)
      : message(message),
        request(std::move(request)),
        writer(writer),
        guard(std::move(guard)),
        relay(writer),
        attempts(std::move(attempts)) {}

  const CallerHttpRequest& message;
  ClassifiedRequest request;
  ResponseWriter* writer;
  std::shared_ptr<RequestGuard> guard;
  StreamRelay relay;
  RequestAttempts attempts;

  // Written to the log when the request ends.
  std::string outcome = "none";
  std::string reason;
  std::string endpoint;
  int status = 0;
};

asio::awaitable<void> RequestHandler::Serve(const CallerHttpRequest& message,
                                            Timestamp received_at,
                                            tcp::socket* socket,
                                            ResponseWriter* writer) {
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
  Exchange exchange(
      message, std::move(request), writer,
      std::make_shared<RequestGuard>(socket, GatewayState::ToSteady(deadline)),
      std::move(attempts));
  ++state_->requests_in_progress;
  exchanges_.insert(&exchange);
  if (refusal) {
    co_await Refuse(exchange, *refusal);
  } else {
    exchange.relay.set_on_first_event(
        [this, &exchange] { crash_guard_.OnAnswerBegun(exchange.request); });
    exchange.guard->Start();
    co_await RunAttempts(exchange);
    exchange.guard->Finish();
  }
  --state_->requests_in_progress;
  exchanges_.erase(&exchange);
  LogEnd(exchange);
}

void RequestHandler::LogCutRequests() {
  for (Exchange* exchange : exchanges_) {
    exchange->outcome = "cut";
    exchange->reason = "leaving";
    LogEnd(*exchange);
  }
}

asio::awaitable<void> RequestHandler::RunAttempts(Exchange& exchange) {
  state_->RetryAllowanceFor(exchange.request.service->name)
      .OnRequest(state_->Now());
  bool is_final = false;
  while (!is_final)
    is_final = co_await RunAttempt(exchange);
}

asio::awaitable<bool> RequestHandler::RunAttempt(Exchange& exchange) {
  if (const auto refusal =
          checks_.CheckConfigurationFreshness(exchange.request)) {
    co_await EndWithoutAttempt(exchange, *refusal);
    co_return true;
  }
  if (crash_guard_.Blocks(exchange.request)) {
    co_await EndWithoutAttempt(exchange, RefusalReason::kCrashesEndpoints);
    co_return true;
  }
  const SelectionResult selected = co_await placement_.SelectOrWait(
      exchange.request, exchange.attempts, *exchange.guard);
  if (const auto* reason = std::get_if<NoEndpointReason>(&selected)) {
    co_await EndWithoutAttempt(exchange, ToRefusal(*reason));
    co_return true;
  }
  const Selection& selection = std::get<Selection>(selected);
  EndpointState& endpoint = *selection.endpoint;
  exchange.endpoint = endpoint.record().id;
  exchange.attempts.OnStart(endpoint.record().id);
  const Timestamp sent_at = state_->Now();
  placement_.OnSend(selection);
  const bool is_stream =
      exchange.request.route->kind == RequestKind::kStreaming;
  EndpointAttempt attempt(state_, &connections_, selection.endpoint,
                          exchange.guard.get(), &exchange.attempts);
  LogSend(exchange, selection);
  const auto message = MakeEndpointRequest(exchange, selection);
  const ResponseTimeouts limits =
      placement_.TimeoutsFor(exchange.request, endpoint);
  StreamRelay* relay = is_stream ? &exchange.relay : nullptr;
  std::function<void()> on_silence = [this, &endpoint] {
    AttemptResult silent;
    silent.failure = AttemptFailure::kSilent;
    UpdateEndpointHealth(endpoint, silent);
  };
  const uint32_t events_before = exchange.relay.events().event_count();
  AttemptResult result = co_await attempt.Run(
      message, exchange.request.head.id, limits, relay, std::move(on_silence));
  placement_.OnEnd(selection);
  UpdateEndpointHealth(endpoint, result);
  if (result.failure == AttemptFailure::kBroken &&
      exchange.relay.events().event_count() == events_before &&
      !state_->endpoints().IsLeaving(endpoint))
    crash_guard_.OnCrash(exchange.request, endpoint, sent_at);
  bool is_final = true;
  if (result.failure) {
    co_await HandleFailure(exchange, selection, std::move(result), &is_final);
  } else {
    exchange.outcome = "answered";
    exchange.status = 200;
    placement_.OnServed(selection, state_->Now() - sent_at);
    if (result.head) {
      crash_guard_.OnAnswerBegun(exchange.request);
      exchange.status = result.head->status;
      ResponseHead head = *std::move(result.head);
      std::string body = std::move(result.body);
      co_await exchange.writer->WriteResponse(std::move(head), std::move(body));
    }
    state_->metrics().OnResponse(exchange.request.route->kind,
                                 state_->Now() - exchange.request.received_at);
  }
  co_return is_final;
}

asio::awaitable<void> RequestHandler::HandleFailure(Exchange& exchange,
                                                    const Selection& selection,
                                                    AttemptResult result,
                                                    bool* is_final) {
  const AttemptFailure failure = *result.failure;
  const Route& route = *exchange.request.route;
  const bool relayed = exchange.relay.begun();
  const bool can_resume =
      route.is_resumable && exchange.relay.events().last_id().has_value();
  const std::string& service = exchange.request.service->name;
  const NextStep step =
      exchange.attempts.OnFailure(failure, relayed, can_resume, [&] {
        return state_->RetryAllowanceFor(service).TryTake(
            state_->peers().NodesSharingLimits(state_->Now()).size(),
            state_->Now());
      });
  *is_final = step != NextStep::kRetry;
  state_->metrics().OnAttemptFailure(failure, !*is_final);
  LogLine line("attempt-failed");
  line.Add("id", exchange.request.head.id)
      .Add("endpoint", selection.endpoint->record().id)
      .Add("failure", ToString(failure))
      .Add("kept_connection", result.on_reused_connection)
      .AddRounded("load", selection.endpoint->EstimatedLoad(state_->Now()))
      .Add("events", exchange.relay.events().event_count())
      .Add("retried", !*is_final)
      .AddTime("elapsed", state_->Now() - exchange.request.received_at);
  state_->log().Info(line);
  switch (step) {
    case NextStep::kRetry:
      break;
    case NextStep::kDrop:
      exchange.outcome = "dropped";
      exchange.reason = "caller-gone";
      exchange.writer->Abort();
      break;
    case NextStep::kRelayError: {
      exchange.outcome = "answered";
      exchange.status = result.head->status;
      ResponseHead head = *std::move(result.head);
      std::string body = std::move(result.body);
      co_await exchange.writer->WriteResponse(std::move(head), std::move(body));
      break;
    }
    case NextStep::kRefuse:
      co_await Refuse(exchange, ToRefusal(failure));
      break;
    case NextStep::kReportUnknown:
      co_await ReportUnknownOutcome(exchange, ToUnknown(failure));
      break;
  }
}

std::shared_ptr<EndpointHttpRequest> RequestHandler::MakeEndpointRequest(
    const Exchange& exchange,
    const Selection& selection) const {
  const ClassifiedRequest& request = exchange.request;
  SendInstructions instructions;
  instructions.endpoint_id = selection.endpoint->record().id;
  if (request.customer)
    instructions.customer = request.customer->name;
  instructions.time_left = request.deadline - state_->Now();
  instructions.resume_after = exchange.relay.events().last_id();
  instructions.kv_source = selection.kv_source;
  if (request.service->engine)
    instructions.engine_priority = std::clamp(request.Priority(), 0, 9);
  auto message = std::make_shared<EndpointHttpRequest>();
  message->version(11);
  message->method_string(exchange.message.method_string());
  message->target(exchange.message.target());
  state_->codec().EncodeForEndpoint(exchange.message.base(), instructions,
                                    message.get());
  message->body() = exchange.message.body();
  const bool has_body = !message->body().empty() ||
                        exchange.message.method() == http::verb::post ||
                        exchange.message.method() == http::verb::put;
  if (has_body)
    message->content_length(message->body().size());
  return message;
}

void RequestHandler::UpdateEndpointHealth(EndpointState& endpoint,
                                          const AttemptResult& result) {
  const Timestamp now = state_->Now();
  EndpointHealth& health = endpoint.health();
  const bool was_ejected = health.ejected();
  if (!result.failure) {
    health.OnSuccess();
  } else if (result.silence_recorded) {
    health.OnAbandoned();
  } else {
    switch (*result.failure) {
      case AttemptFailure::kUnreachable:
      case AttemptFailure::kMisdirected:
        connections_.Drop(endpoint.record().id);
        health.OnUnreachable(now);
        break;
      case AttemptFailure::kStaleConnection:
      case AttemptFailure::kCallerGone:
      case AttemptFailure::kNoBufferSpace:
        health.OnAbandoned();
        break;
      case AttemptFailure::kSilent:
        // A new connection at the next attempt shows whether the endpoint is
        // still reachable.
        connections_.Drop(endpoint.record().id);
        [[fallthrough]];
      default:
        health.OnFailure(state_->endpoints().ToleratedFailureRate(endpoint),
                         now);
    }
  }
  if (health.ejected() == was_ejected)
    return;
  LogLine line(health.ejected() ? "endpoint-ejected" : "endpoint-readmitted");
  line.Add("endpoint", endpoint.record().id)
      .Add("service", endpoint.record().service)
      .AddRounded("failure_percent", 100 * health.failure_rate());
  if (result.failure)
    line.Add("failure", ToString(*result.failure));
  state_->log().Info(line);
}

asio::awaitable<void> RequestHandler::Refuse(Exchange& exchange,
                                             RefusalReason reason) {
  state_->metrics().OnRefusal(reason);
  const double spread =
      std::uniform_real_distribution<double>(0, 1)(state_->random());
  std::optional<Duration> time_left = exchange.request.head.time_left;
  if (time_left)
    *time_left -= state_->Now() - exchange.request.received_at;
  Duration pause{};
  if (reason == RefusalReason::kEndpointsPaused) {
    pause = state_->endpoints()
                .ShortestPause(exchange.request.service->name, state_->Now())
                .value_or(Duration::zero());
  }
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

asio::awaitable<void> RequestHandler::EndWithoutAttempt(Exchange& exchange,
                                                        RefusalReason reason) {
  if (exchange.attempts.may_have_run())
    co_await ReportUnknownOutcome(exchange, UnknownReason::kConnectionLost);
  else
    co_await Refuse(exchange, reason);
}

asio::awaitable<void> RequestHandler::ReportUnknownOutcome(
    Exchange& exchange,
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

void RequestHandler::LogSend(const Exchange& exchange,
                             const Selection& selection) {
  const EndpointState& endpoint = *selection.endpoint;
  LogLine line("sent");
  line.Add("id", exchange.request.head.id)
      .Add("endpoint", endpoint.record().id)
      .AddRounded("load", endpoint.EstimatedLoad(state_->Now()))
      .Add("cold", endpoint.IsCold(state_->Now()));
  if (const auto count = endpoint.LatestCount(Duration::max(), state_->Now())) {
    line.AddTime("load_age", state_->Now() - count->at);
  }
  if (endpoint.speed().IsKnown(state_->Now())) {
    line.AddRounded("slowness_percent",
                    100 * endpoint.speed().Slowness(state_->Now()));
  }
  if (!selection.affinity_part.empty()) {
    line.Add("part", selection.affinity_part)
        .Add("shared_tokens", selection.shared_tokens)
        .Add("rank", selection.rank)
        .AddRounded("load_bound", selection.load_bound)
        .AddRounded("mean_load", selection.mean_load)
        .Add("engines_counted", selection.engines_counted)
        .Add("engines_usable", selection.engines_usable)
        .Add("over_bound", selection.over_bound)
        .Add("spread", selection.spread);
  }
  if (selection.kv_source)
    line.Add("kv_source", selection.kv_source->ToString());
  state_->log().Info(line);
}

void RequestHandler::LogEnd(const Exchange& exchange) {
  const ClassifiedRequest& request = exchange.request;
  LogLine line("request-ended");
  line.Add("id", request.head.id)
      .Add("route", request.route ? request.route->name : "none")
      .Add("outcome", exchange.outcome)
      .Add("status", exchange.status);
  if (!exchange.reason.empty())
    line.Add("reason", exchange.reason);
  if (!exchange.endpoint.empty())
    line.Add("endpoint", exchange.endpoint);
  line.Add("sends", exchange.attempts.sends())
      .Add("events", exchange.relay.events().event_count())
      .AddTime("elapsed", state_->Now() - request.received_at);
  if (const auto first = exchange.relay.first_event_at()) {
    const Duration latency = std::chrono::duration_cast<Duration>(
        *first - GatewayState::ToSteady(request.received_at));
    line.AddTime("first_event", latency);
    state_->metrics().OnFirstByte(RequestKind::kStreaming, latency);
  }
  if (request.routes)
    line.Add("configuration", request.routes->version());
  if (const auto age =
          state_->configuration_freshness().Age(GatewayState::BootNow()))
    line.AddTime("configuration_age", *age);
  state_->log().Info(line);
}

}  // namespace teaselthread
