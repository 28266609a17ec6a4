#include "teaselthread/gateway/endpoint_placement.h"

#include <algorithm>

namespace teaselthread {
namespace {

constexpr auto kRoomCheckInterval = std::chrono::milliseconds(20);

}  // namespace

SelectionResult EndpointPlacement::Select(const ClassifiedRequest& request,
                                          const RequestAttempts& attempts) {
  SelectionQuery query;
  query.service = request.service;
  const std::string& service = query.service->name;
  const Timestamp now = state_->Now();
  if (query.service->engine)
    query.prompt = request.head.prompt;
  if (!query.prompt.empty()) {
    query.affinity_share =
        state_->demand().ShareOf(service, AffinityPart(query.prompt).id, now);
    query.tokens = EstimateTokens(query.prompt, request.head.token_usage,
                                  request.head.output_hint);
    query.priority = request.Priority();
    query.token_mix = &state_->endpoints().TokenMixOf(service);
  } else {
    query.work_time = state_->endpoints().WorkTimeOf(service).Estimate();
    query.seed = state_->random()();
  }
  query.excluded = attempts.tried();
  // A stream that was broken off is not kept waiting.
  query.ignores_load_bound = attempts.may_have_run();
  return state_->selector().Select(query, state_->MakeSelectionContext(service),
                                   now);
}

asio::awaitable<SelectionResult> EndpointPlacement::SelectOrWait(
    const ClassifiedRequest& request,
    const RequestAttempts& attempts,
    const RequestGuard& guard) {
  const std::string& service = request.service->name;
  WaitingRequests& waiting = state_->WaitingFor(service);
  const int priority = request.Priority();
  const bool is_queued =
      waiting.HasAheadOf(priority) && !attempts.may_have_run();
  SelectionResult result =
      is_queued ? NoEndpointReason::kAllAtBound : Select(request, attempts);
  const auto is_at_bound = [&result] {
    const auto* reason = std::get_if<NoEndpointReason>(&result);
    return reason && (*reason == NoEndpointReason::kAllAtBound ||
                      *reason == NoEndpointReason::kNoTokenRoom);
  };
  if (!is_at_bound())
    co_return result;
  const Timestamp entered_at = state_->Now();
  const Timestamp until =
      entered_at + WaitingRequests::MaxWait(
                       request.route->objective, request.deadline - entered_at,
                       state_->endpoints().LeastSlowness(service, entered_at));
  const WaitingRequests::Place place = waiting.Enter(priority);
  asio::steady_timer timer(state_->io());
  while (is_at_bound() && state_->Now() < until && !guard.is_final()) {
    timer.expires_after(kRoomCheckInterval);
    co_await timer.async_wait(kAsTuple);
    if (waiting.IsFirst(place))
      result = Select(request, attempts);
  }
  // No request is refused that an endpoint has room for, whatever its place.
  if (is_at_bound() && !waiting.IsFirst(place) && !guard.is_final())
    result = Select(request, attempts);
  waiting.Leave(place);
  LogLine line("waited-for-room");
  line.Add("id", request.head.id)
      .Add("service", service)
      .Add("priority", priority)
      .Add("waiting", waiting.size())
      .Add("found_room", !is_at_bound())
      .AddTime("elapsed", state_->Now() - entered_at);
  if (const auto* reason = std::get_if<NoEndpointReason>(&result))
    line.Add("reason", ToString(*reason));
  state_->log().Info(line);
  co_return result;
}

void EndpointPlacement::OnSend(const Selection& selection) {
  const Timestamp now = state_->Now();
  EndpointState& endpoint = *selection.endpoint;
  endpoint.OnSend(now);
  if (selection.affinity_part.empty())
    return;
  const std::string& service = endpoint.record().service;
  state_->demand().OnStart(service, selection.affinity_part, now);
  endpoint.tokens().OnSend(selection.tokens, now);
  state_->endpoints().TokenMixOf(service).OnSend(selection.tokens, now);
}

void EndpointPlacement::OnEnd(const Selection& selection) {
  const Timestamp now = state_->Now();
  EndpointState& endpoint = *selection.endpoint;
  endpoint.OnEnd(now);
  if (selection.affinity_part.empty())
    return;
  const std::string& service = endpoint.record().service;
  state_->demand().OnEnd(service, selection.affinity_part, now);
  endpoint.tokens().OnEnd(selection.tokens);
  state_->endpoints().TokenMixOf(service).OnEnd(selection.tokens, now);
}

ResponseTimeouts EndpointPlacement::TimeoutsFor(
    const ClassifiedRequest& request,
    const EndpointState& endpoint) const {
  const Timestamp now = state_->Now();
  ResponseTimeoutQuery query;
  query.route = request.route;
  for (const PromptPart& part : request.head.prompt)
    query.prompt_tokens += part.tokens;
  query.load_share =
      endpoint.EstimatedLoad(now) / std::max(1u, endpoint.record().slots);
  query.slowness = endpoint.speed().Slowness(now);
  query.time_left = request.deadline - now;
  return ChooseResponseTimeouts(query);
}

void EndpointPlacement::OnServed(const Selection& selection, Duration elapsed) {
  if (selection.work_multiple <= 0)
    return;
  state_->endpoints()
      .WorkTimeOf(selection.endpoint->record().service)
      .OnResponse(elapsed, selection.work_multiple);
}

}  // namespace teaselthread
