#include "libteaselthread/requests/routed_request.h"

#include <utility>

namespace teaselthread {
namespace {

constexpr int kMaxPlacements = 12;
constexpr int kMaxReruns = 3;
constexpr int kFirstServerError = 500;
constexpr std::string_view kEventStream = "text/event-stream";

RetryReason RetryReasonFor(RefusalReason refusal) {
  switch (refusal) {
    case RefusalReason::kNotOwner:
    case RefusalReason::kOwnerGuarded:
      return RetryReason::kNotOwner;
    case RefusalReason::kEndpointUnreachable:
    case RefusalReason::kEndpointOut:
      return RetryReason::kEndpointUnreachable;
    default:
      return RetryReason::kEndpointBusy;
  }
}

}  // namespace

RoutedRequest::RoutedRequest(const Router* router,
                             RetryBudget* budget,
                             PlacementQuery query,
                             bool repeatable)
    : router_(router),
      budget_(budget),
      query_(std::move(query)),
      repeatable_(repeatable) {}

RouteActions RoutedRequest::Start(Timestamp now) {
  budget_->OnRequest();
  return TryPlace(std::nullopt, std::nullopt, now);
}

RouteActions RoutedRequest::OnHead(int status,
                                   std::string_view content_type,
                                   Timestamp now) {
  if (finished_)
    return {};
  const bool may_rerun = repeatable_ && reruns_ < kMaxReruns;
  if (status >= kFirstServerError && may_rerun && !head_relayed_)
    return Rerun(UnknownReason::kConnectionLost, now);
  if (head_relayed_)
    return {};
  status_ = status;
  content_type_ = content_type;
  is_event_stream_ =
      content_type.substr(0, kEventStream.size()) == kEventStream;
  if (!is_event_stream_)
    return {};
  head_relayed_ = true;
  return {HeadToRelay()};
}

RouteActions RoutedRequest::OnData(std::string_view bytes) {
  if (finished_)
    return {};
  attempt_bytes_ += bytes.size();
  if (!is_event_stream_) {
    body_.append(bytes);
    return {};
  }
  std::string whole = events_.Feed(bytes);
  if (whole.empty())
    return {};
  RouteActions actions = {RelayData{std::move(whole)}};
  if (!events_.done())
    return actions;
  for (RouteAction& action : FinishAnswered())
    actions.push_back(std::move(action));
  return actions;
}

RouteActions RoutedRequest::OnEnd(uint64_t body_bytes, Timestamp now) {
  if (finished_)
    return {};
  if (!AnswerIsWhole(body_bytes))
    return OnLost(UnknownReason::kTruncatedAnswer, now);
  RouteActions actions = {HeadToRelay(), RelayData{std::move(body_)}};
  head_relayed_ = true;
  for (RouteAction& action : FinishAnswered())
    actions.push_back(std::move(action));
  return actions;
}

RouteActions RoutedRequest::OnNotRun(const RefusedNotRun& statement,
                                     Timestamp now) {
  if (finished_)
    return {};
  if (!earlier_loss_) {
    call_ = std::move(std::get<ExposedCall>(call_)).ConfirmUnsent(statement);
  }
  const bool waited_for = placement_.max_wait == Placement::kUntilDeadline;
  const bool is_busy = statement.reason == RefusalReason::kEndpointBusy;
  (is_busy && !waited_for ? query_.busy : query_.excluded)
      .insert(placement_.endpoint);
  if (waited_for || placements_ >= kMaxPlacements)
    return GiveUp(statement);
  // The owner's reason tells more than that nothing is left to try.
  return TryPlace(RetryReasonFor(statement.reason), statement, now);
}

RouteActions RoutedRequest::OnLost(UnknownReason reason, Timestamp now) {
  if (finished_)
    return {};
  return Rerun(reason, now);
}

RouteActions RoutedRequest::OnDeadline() {
  if (finished_)
    return {};
  if (std::holds_alternative<ExposedCall>(call_)) {
    return Finish(std::get<ExposedCall>(std::move(call_))
                      .LoseTrack(UnknownReason::kTimedOut));
  }
  return GiveUp({RefusalReason::kDeadlinePassed, Duration::zero()});
}

RouteActions RoutedRequest::OnCallerGone() {
  if (finished_)
    return {};
  if (std::holds_alternative<ExposedCall>(call_)) {
    return Finish(std::get<ExposedCall>(std::move(call_))
                      .LoseTrack(UnknownReason::kCallerGone));
  }
  return GiveUp({RefusalReason::kDeadlinePassed, Duration::zero()});
}

RouteActions RoutedRequest::TryPlace(
    std::optional<RetryReason> retry_of,
    const std::optional<RefusedNotRun>& last_refusal,
    Timestamp now) {
  auto placed = router_->Place(query_, now);
  if (const auto* refusal = std::get_if<RefusedNotRun>(&placed))
    return GiveUp(last_refusal.value_or(*refusal));
  placement_ = std::get<Placement>(placed);
  ++placements_;
  if (std::holds_alternative<UnsentCall>(call_))
    call_ = std::get<UnsentCall>(std::move(call_)).Expose();
  attempt_bytes_ = 0;
  body_.clear();
  events_.DropPartialEvent();
  return {ForwardCall{placement_, events_.event_count(), retry_of}};
}

RouteActions RoutedRequest::Rerun(UnknownReason reason, Timestamp now) {
  earlier_loss_ = reason;
  const bool may_rerun =
      repeatable_ && reruns_ < kMaxReruns && budget_->TryTake();
  if (!may_rerun) {
    return Finish(std::get<ExposedCall>(std::move(call_)).LoseTrack(reason));
  }
  ++reruns_;
  query_.excluded.insert(placement_.endpoint);
  // The endpoint may be well and only its connection lost.
  if (std::holds_alternative<RefusedNotRun>(router_->Place(query_, now)))
    query_.excluded.erase(placement_.endpoint);
  return TryPlace(
      head_relayed_ ? RetryReason::kStreamCut : RetryReason::kOwnerLost,
      std::nullopt, now);
}

RouteActions RoutedRequest::Finish(Outcome outcome) {
  finished_ = true;
  return {FinishCall{outcome}};
}

RouteActions RoutedRequest::FinishAnswered() {
  return Finish(std::get<ExposedCall>(std::move(call_)).Answer());
}

RouteActions RoutedRequest::GiveUp(const RefusedNotRun& refusal) {
  if (std::holds_alternative<ExposedCall>(call_)) {
    const UnknownReason reason =
        earlier_loss_.value_or(UnknownReason::kOwnerLost);
    return Finish(std::get<ExposedCall>(std::move(call_)).LoseTrack(reason));
  }
  return Finish(std::get<UnsentCall>(std::move(call_))
                    .Refuse(refusal.reason, refusal.retry_after));
}

RelayHead RoutedRequest::HeadToRelay() const {
  return {status_, content_type_, placement_.endpoint, placement_.owner};
}

bool RoutedRequest::AnswerIsWhole(uint64_t body_bytes) const {
  const bool has_head = status_ != 0;
  return has_head && !is_event_stream_ && attempt_bytes_ == body_bytes;
}

}  // namespace teaselthread
