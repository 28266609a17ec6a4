#include "teaselthread/requests/request_log.h"

namespace teaselthread {

void RequestLog::OnSend(const RequestExchange& exchange,
                        const Selection& selection,
                        AttemptRole role,
                        RolloutGuard* rollout_guard) {
  const EndpointState& endpoint = *selection.endpoint;
  LogLine line("sent");
  line.Add("id", exchange.request.head.id)
      .Add("endpoint", endpoint.record().id)
      .AddRounded("load", endpoint.EstimatedLoad(state_->Now()))
      .Add("cold", endpoint.IsCold(state_->Now()));
  if (!endpoint.record().version.empty())
    line.Add("version", endpoint.record().version);
  if (const auto count = endpoint.LatestCount(Duration::max(), state_->Now())) {
    line.AddTime("load_age", state_->Now() - count->at);
  }
  if (const auto limit = state_->endpoints().rate_limits().StatusOf(
          endpoint.record(), state_->Now())) {
    line.Add("rate_limit", limit->rate)
        .AddTime("rate_limit_age", limit->age)
        .Add("rate_limit_share", limit->share.requests);
  }
  if (selection.limited > 0)
    line.Add("endpoints_limited", selection.limited);
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
  if (role == AttemptRole::kHedge)
    line.Add("hedge", true);
  if (selection.kv_source)
    line.Add("kv_source", selection.kv_source->ToString());
  rollout_guard->OnSend(exchange.request, selection);
  state_->log().Info(line);
}

void RequestLog::OnAttemptFailed(const RequestExchange& exchange,
                                 const Selection& selection,
                                 const AttemptResult& result,
                                 bool retried) {
  LogLine line("attempt-failed");
  line.Add("id", exchange.request.head.id)
      .Add("endpoint", selection.endpoint->record().id)
      .Add("failure", ToString(*result.failure))
      .Add("kept_connection", result.on_reused_connection)
      .AddRounded("load", selection.endpoint->EstimatedLoad(state_->Now()))
      .Add("events", exchange.relay.events().event_count())
      .Add("retried", retried)
      .AddTime("elapsed", state_->Now() - exchange.request.received_at);
  state_->log().Info(line);
}

void RequestLog::OnEnd(const RequestExchange& exchange) {
  const ClassifiedRequest& request = exchange.request;
  const ResponseEnd end = exchange.writer->end();
  state_->metrics().OnResponseEnded(end);
  LogLine line("request-ended");
  line.Add("id", request.head.id)
      .Add("route", request.route ? request.route->name : "none")
      .Add("outcome", exchange.outcome)
      .Add("status", exchange.status)
      .Add("response", ToString(end));
  if (!exchange.reason.empty())
    line.Add("reason", exchange.reason);
  if (!exchange.endpoint.empty())
    line.Add("endpoint", exchange.endpoint);
  if (exchange.hedge)
    line.Add("hedge", ToString(*exchange.hedge));
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
