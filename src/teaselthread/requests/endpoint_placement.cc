#include "teaselthread/requests/endpoint_placement.h"

#include <algorithm>

namespace teaselthread {
namespace {

constexpr auto kRoomCheckInterval = std::chrono::milliseconds(20);

// A stream that was broken off is not kept waiting: few endpoints can continue
// it, and the room that others wait for is elsewhere.
bool IsBrokenOff(const ClassifiedRequest& request,
                 const RequestAttempts& attempts) {
  return attempts.may_have_run() || request.required_version.has_value();
}

}  // namespace

SelectionQuery EndpointPlacement::MakeQuery(const ClassifiedRequest& request,
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
  } else {
    query.work_time = state_->endpoints().WorkTimeOf(service).Estimate();
    query.seed = state_->random()();
  }
  query.excluded = attempts.tried();
  query.version = request.required_version;
  query.ignores_load_bound = IsBrokenOff(request, attempts);
  return query;
}

SelectionResult EndpointPlacement::Select(
    const ClassifiedRequest& request,
    const RequestAttempts& attempts,
    const std::set<std::string>& excluded) {
  SelectionQuery query = MakeQuery(request, attempts);
  query.excluded.insert(excluded.begin(), excluded.end());
  return rollout_guard_.Select(request, query);
}

bool EndpointPlacement::CanContinueElsewhere(const ClassifiedRequest& request,
                                             const RequestAttempts& attempts) {
  SelectionQuery query = MakeQuery(request, attempts);
  query.ignores_load_bound = true;
  return std::holds_alternative<Selection>(
      rollout_guard_.Select(request, query));
}

asio::awaitable<SelectionResult> EndpointPlacement::SelectOrWait(
    const ClassifiedRequest& request,
    const RequestAttempts& attempts,
    const RequestGuard& guard) {
  const std::string& service = request.service->name;
  WaitingRequests& waiting = state_->WaitingFor(service);
  const int priority = request.Priority();
  const bool is_queued =
      waiting.HasAheadOf(priority) && !IsBrokenOff(request, attempts);
  SelectionResult result =
      is_queued ? LastReason(service) : Select(request, attempts);
  if (!LacksRoom(result))
    co_return result;
  last_reasons_[service] = std::get<NoEndpointReason>(result);
  const Timestamp entered_at = state_->Now();
  const Timestamp until =
      entered_at + WaitingRequests::MaxWait(
                       request.route->objective, request.deadline - entered_at,
                       state_->endpoints().LeastSlowness(service, entered_at));
  const WaitingRequests::Place place = waiting.Enter(
      priority, request.customer ? request.customer->name : std::string());
  asio::steady_timer timer(state_->io());
  while (LacksRoom(result) && state_->Now() < until && !guard.is_final() &&
         MayGetRoom(service, place, attempts.tried(), until)) {
    timer.expires_after(kRoomCheckInterval);
    co_await timer.async_wait(kAsTuple);
    if (!waiting.IsFirst(place)) {
      result = LastReason(service);
      continue;
    }
    result = Select(request, attempts);
    last_reasons_[service] = LacksRoom(result)
                                 ? std::get<NoEndpointReason>(result)
                                 : NoEndpointReason::kAllAtBound;
  }
  waiting.Leave(place, !LacksRoom(result));
  LogLine line("waited-for-room");
  line.Add("id", request.head.id)
      .Add("service", service)
      .Add("priority", priority)
      .Add("waiting", waiting.size())
      .Add("found_room", !LacksRoom(result))
      .AddTime("elapsed", state_->Now() - entered_at);
  if (const auto* reason = std::get_if<NoEndpointReason>(&result))
    line.Add("reason", ToString(*reason));
  state_->log().Info(line);
  co_return result;
}

bool EndpointPlacement::LacksRoom(const SelectionResult& result) {
  const auto* reason = std::get_if<NoEndpointReason>(&result);
  return reason && (*reason == NoEndpointReason::kAllAtBound ||
                    *reason == NoEndpointReason::kAllLimited);
}

NoEndpointReason EndpointPlacement::LastReason(const std::string& service) {
  return last_reasons_.try_emplace(service, NoEndpointReason::kAllAtBound)
      .first->second;
}

bool EndpointPlacement::MayGetRoom(const std::string& service,
                                   const WaitingRequests::Place& place,
                                   const std::set<std::string>& tried,
                                   Timestamp until) {
  if (LastReason(service) != NoEndpointReason::kAllLimited)
    return true;
  const Timestamp now = state_->Now();
  const RateLimitRoom room =
      state_->endpoints().RoomUnderRateLimits(service, tried, now);
  // The limits have ended since.
  if (room.mean_rate <= 0)
    return true;
  const auto wait = ReturnSchedule::ExpectedWait(
      room, state_->WaitingFor(service).AheadOf(place));
  return wait && now + *wait <= until;
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
