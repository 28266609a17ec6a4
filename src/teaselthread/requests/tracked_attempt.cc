#include "teaselthread/requests/tracked_attempt.h"

#include <algorithm>
#include <exception>

namespace teaselthread {

TrackedAttempt::TrackedAttempt(GatewayState* state,
                               EndpointConnections* connections,
                               CrashGuard* crash_guard,
                               EndpointPlacement* placement,
                               RequestExchange* exchange,
                               Selection selection,
                               AttemptRole role,
                               std::shared_ptr<RequestGuard> guard)
    : state_(state),
      connections_(connections),
      crash_guard_(crash_guard),
      placement_(placement),
      log_(state),
      exchange_(exchange),
      selection_(std::move(selection)),
      role_(role),
      guard_(std::move(guard)) {}

asio::awaitable<AttemptResult> TrackedAttempt::Run() {
  EndpointState& endpoint = *selection_.endpoint;
  exchange_->attempts.OnStart(endpoint.record().id, role_);
  sent_at_ = state_->Now();
  endpoint.OnSend(sent_at_);
  state_->endpoints().rate_limits().OnSend(endpoint.record(), sent_at_);
  if (selection_.limited > 0)
    state_->metrics().OnLimitedSelection(selection_.limited);
  const std::string& service = exchange_->request.service->name;
  if (!selection_.affinity_part.empty())
    state_->demand().OnStart(service, selection_.affinity_part, state_->Now());
  log_.OnSend(*exchange_, selection_, role_, &placement_->rollout_guard());
  const uint32_t events_before = exchange_->relay.events().event_count();
  AttemptResult result = co_await SendSafely();
  endpoint.OnEnd(state_->Now());
  placement_->rollout_guard().OnEnd(exchange_->request, selection_, result,
                                    sent_at_,
                                    exchange_->relay.FirstEventAfter(sent_at_));
  if (!selection_.affinity_part.empty())
    state_->demand().OnEnd(service, selection_.affinity_part, state_->Now());
  UpdateEndpointHealth(endpoint, result);
  if (!result.failure)
    placement_->OnServed(selection_, state_->Now() - sent_at_);
  if (result.failure == AttemptFailure::kBroken && !has_thrown_ &&
      exchange_->relay.events().event_count() == events_before &&
      !state_->endpoints().IsLeaving(endpoint))
    crash_guard_->OnBreak(exchange_->request, selection_.endpoint, sent_at_);
  co_return result;
}

asio::awaitable<AttemptResult> TrackedAttempt::SendSafely() {
  AttemptResult result;
  try {
    result = co_await Send();
  } catch (const std::exception& error) {
    guard_->Detach();
    has_thrown_ = true;
    result.failure = AttemptFailure::kBroken;
    LogLine line("attempt-threw");
    line.Add("id", exchange_->request.head.id)
        .Add("endpoint", selection_.endpoint->record().id)
        .Add("error", error.what());
    state_->log().Info(line);
  }
  co_return result;
}

asio::awaitable<AttemptResult> TrackedAttempt::Send() {
  EndpointState& endpoint = *selection_.endpoint;
  const bool is_stream =
      exchange_->request.route->kind == RequestKind::kStreaming;
  StreamRelay* relay = is_stream ? &exchange_->relay : nullptr;
  EndpointAttempt attempt(state_, connections_, selection_.endpoint,
                          guard_.get(), &exchange_->attempts, role_);
  const auto message = MakeEndpointRequest();
  timeouts_ = placement_->TimeoutsFor(exchange_->request, endpoint);
  EndpointAttempt::SilenceHandlers on_silence;
  on_silence.on_health_timeout = [this, &endpoint] {
    AttemptResult silent;
    silent.failure = AttemptFailure::kSilent;
    UpdateEndpointHealth(endpoint, silent);
  };
  on_silence.may_abandon = [this] {
    return exchange_->may_abandon(selection_, role_);
  };
  AttemptResult result =
      co_await attempt.Run(message, exchange_->request.head.id, timeouts_,
                           relay, std::move(on_silence));
  co_return result;
}

std::shared_ptr<EndpointHttpRequest> TrackedAttempt::MakeEndpointRequest()
    const {
  const ClassifiedRequest& request = exchange_->request;
  SendInstructions instructions;
  instructions.endpoint_id = selection_.endpoint->record().id;
  if (request.customer)
    instructions.customer = request.customer->name;
  instructions.time_left = request.deadline - state_->Now();
  instructions.resume_after = exchange_->relay.events().last_id();
  instructions.kv_source = selection_.kv_source;
  if (request.service->engine)
    instructions.engine_priority = std::clamp(request.Priority(), 0, 9);
  auto message = std::make_shared<EndpointHttpRequest>();
  message->version(11);
  message->method_string(exchange_->message.method_string());
  message->target(exchange_->message.target());
  state_->codec().EncodeForEndpoint(exchange_->message.base(), instructions,
                                    message.get());
  message->body() = exchange_->message.body();
  const bool has_body = !message->body().empty() ||
                        exchange_->message.method() == http::verb::post ||
                        exchange_->message.method() == http::verb::put;
  if (has_body)
    message->content_length(message->body().size());
  return message;
}

void TrackedAttempt::UpdateEndpointHealth(EndpointState& endpoint,
                                          const AttemptResult& result) {
  const Timestamp now = state_->Now();
  EndpointHealth& health = endpoint.health();
  const bool was_ejected = health.ejected();
  if (!result.failure) {
    health.OnSuccess();
  } else if (result.silence_recorded ||
             (result.is_rate_limited &&
              result.failure == AttemptFailure::kRejected)) {
    health.OnAbandoned();
  } else {
    switch (*result.failure) {
      case AttemptFailure::kUnreachable:
      case AttemptFailure::kMisdirected:
        connections_->Drop(endpoint.record().id);
        health.OnUnreachable(now);
        break;
      case AttemptFailure::kStaleConnection:
      case AttemptFailure::kCallerGone:
      case AttemptFailure::kNoBufferSpace:
        health.OnAbandoned();
        break;
      case AttemptFailure::kCancelled:
        if (result.response_begun) {
          health.OnAbandoned();
        } else {
          health.OnCancelled(sent_at_, timeouts_.health_timeout,
                             state_->endpoints().ToleratedFailureRate(endpoint),
                             now);
        }
        break;
      case AttemptFailure::kSilent:
        // A new connection at the next attempt shows whether the endpoint is
        // still reachable.
        connections_->Drop(endpoint.record().id);
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

}  // namespace teaselthread
