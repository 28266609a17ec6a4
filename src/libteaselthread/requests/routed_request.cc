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
  return {MakeRelayHead()};
}

RouteActions RoutedRequest::OnData(std::string_view bytes) {
  if (finished_)
    return {};
  attempt_bytes_ += bytes.size();
  if (!is_event_stream_) {
    body_.append(bytes);
    return {};
  }
  std::string complete_events = events_.Feed(bytes);
  if (complete_events.empty())
    return {};
  RouteActions actions = {RelayData{std::move(complete_events)}};
  if (!events_.done())
    return actions;
  for (RouteAction& action : FinishAnswered())
    actions.push_back(std::move(action));
  return actions;
}

RouteActions RoutedRequest::OnEnd(uint64_t body_bytes, Timestamp now) {
  if (finished_)
    return {};
  if (!IsResponseComplete(body_bytes))
    return OnLost(UnknownReason::kTruncatedAnswer, now);
  RouteActions actions = {MakeRelayHead(), RelayData{std::move(body_)}};
  head_relayed_ = true;
  for (RouteAction& action : FinishAnswered())
    actions.push_back(std::move(action));
  return actions;
}

RouteActions RoutedRequest::OnNotRun(const RefusedNotRun& statement,
                                     Timestamp now) {
  if (finished_)
    return {};
  if (!lost_attempt_reason_) {
    call_ =
        std::move(std::get<PossiblySentCall>(call_)).ConfirmUnsent(statement);
  }
  const bool waited_until_deadline =
      placement_.max_wait == Placement::kUntilDeadline;
  const bool is_busy = statement.reason == RefusalReason::kEndpointBusy;
  (is_busy && !waited_until_deadline ? query_.busy : query_.excluded)
      .insert(placement_.endpoint);
  if (waited_until_deadline || placements_ >= kMaxPlacements)
    return FinishUnanswered(statement);
  // If no endpoint is left to try, the caller gets the owner's reason, which is
  // more specific.
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
  if (std::holds_alternative<PossiblySentCall>(call_)) {
    return Finish(std::get<PossiblySentCall>(std::move(call_))
                      .MarkUnknown(UnknownReason::kTimedOut));
  }
  return FinishUnanswered({RefusalReason::kDeadlinePassed, Duration::zero()});
}

RouteActions RoutedRequest::OnCallerDisconnected() {
  if (finished_)
    return {};
  if (std::holds_alternative<PossiblySentCall>(call_)) {
    return Finish(std::get<PossiblySentCall>(std::move(call_))
                      .MarkUnknown(UnknownReason::kCallerGone));
  }
  return FinishUnanswered({RefusalReason::kDeadlinePassed, Duration::zero()});
}

RouteActions RoutedRequest::TryPlace(
    std::optional<RetryReason> retry_of,
    const std::optional<RefusedNotRun>& last_refusal,
    Timestamp now) {
  auto placed = router_->Place(query_, now);
  if (const auto* refusal = std::get_if<RefusedNotRun>(&placed))
    return FinishUnanswered(last_refusal.value_or(*refusal));
  placement_ = std::get<Placement>(placed);
  ++placements_;
  if (std::holds_alternative<UnsentCall>(call_))
    call_ = std::get<UnsentCall>(std::move(call_)).MarkPossiblySent();
  attempt_bytes_ = 0;
  body_.clear();
  events_.DropPartialEvent();
  return {ForwardCall{placement_, events_.event_count(), retry_of}};
}

RouteActions RoutedRequest::Rerun(UnknownReason reason, Timestamp now) {
  lost_attempt_reason_ = reason;
  const bool may_rerun =
      repeatable_ && reruns_ < kMaxReruns && budget_->TryTake();
  if (!may_rerun) {
    return Finish(
        std::get<PossiblySentCall>(std::move(call_)).MarkUnknown(reason));
  }
  ++reruns_;
  query_.excluded.insert(placement_.endpoint);
  // With no other endpoint left, the same one may be tried again: it may be
  // healthy, with only the connection to it lost.
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
  return Finish(std::get<PossiblySentCall>(std::move(call_)).Answer());
}

RouteActions RoutedRequest::FinishUnanswered(const RefusedNotRun& refusal) {
  if (std::holds_alternative<PossiblySentCall>(call_)) {
    const UnknownReason reason =
        lost_attempt_reason_.value_or(UnknownReason::kOwnerLost);
    return Finish(
        std::get<PossiblySentCall>(std::move(call_)).MarkUnknown(reason));
  }
  return Finish(std::get<UnsentCall>(std::move(call_))
                    .Refuse(refusal.reason, refusal.retry_after));
}

RelayHead RoutedRequest::MakeRelayHead() const {
  return {status_, content_type_, placement_.endpoint, placement_.owner};
}

bool RoutedRequest::IsResponseComplete(uint64_t body_bytes) const {
  const bool has_head = status_ != 0;
  return has_head && !is_event_stream_ && attempt_bytes_ == body_bytes;
}

}  // namespace teaselthread
