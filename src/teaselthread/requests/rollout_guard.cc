#include "teaselthread/requests/rollout_guard.h"

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

using Kind = ResponseOutcome::Kind;

// Responses that an endpoint loses within this time are lost by one crash.
constexpr Duration kLossWindow = std::chrono::milliseconds(20);
constexpr size_t kMaxPartsRead = 8'192;
constexpr size_t kMaxLosses = 1'024;

Kind KindOf(const std::optional<AttemptFailure>& failure) {
  if (!failure)
    return Kind::kAnswered;
  switch (*failure) {
    case AttemptFailure::kUnreachable:
      return Kind::kUnreachable;
    case AttemptFailure::kCallerGone:
    case AttemptFailure::kCancelled:
      return Kind::kAbandoned;
    case AttemptFailure::kStaleConnection:
    case AttemptFailure::kRejected:
    case AttemptFailure::kMisdirected:
    case AttemptFailure::kNoBufferSpace:
      return Kind::kNotRun;
    default:
      return Kind::kFailed;
  }
}

uint32_t RouteOf(const ClassifiedRequest& request) {
  return ShortHash(request.route->name);
}

}  // namespace

SelectionResult RolloutGuard::Select(const ClassifiedRequest& request,
                                     const SelectionQuery& query) const {
  const Timestamp now = state_->Now();
  const std::string& service = query.service->name;
  SelectionContext context = state_->MakeSelectionContext(service);
  // Rollouts decide on new requests only.
  if (query.version) {
    context.versions = VersionRule{query.version, {}, {}};
    return state_->selector().Select(query, context, now);
  }
  if (!state_->rollouts().enabled())
    return state_->selector().Select(query, context, now);
  const std::vector<VersionRule> rules = state_->rollouts().RulesFor(
      service, RouteOf(request), context.nodes.size(), now);
  if (rules.empty())
    return state_->selector().Select(query, context, now);
  SelectionResult result = NoEndpointReason::kNoneAvailable;
  for (const VersionRule& rule : rules) {
    context.versions = rule;
    result = state_->selector().Select(query, context, now);
    if (std::holds_alternative<Selection>(result))
      break;
  }
  return result;
}

void RolloutGuard::OnSend(const ClassifiedRequest& request,
                          const Selection& selection) {
  RolloutTable& rollouts = state_->rollouts();
  if (!rollouts.enabled())
    return;
  const EndpointRecord& endpoint = selection.endpoint->record();
  rollouts.OnSend(request.service->name, RouteOf(request), endpoint.version);
}

void RolloutGuard::OnEnd(const ClassifiedRequest& request,
                         const Selection& selection,
                         const AttemptResult& result,
                         Timestamp sent_at,
                         const std::optional<Timestamp>& first_event_at) {
  if (!state_->rollouts().enabled())
    return;
  const Timestamp now = state_->Now();
  const EndpointRecord& endpoint = selection.endpoint->record();
  ResponseOutcome outcome;
  outcome.kind = KindOf(result.failure);
  if (result.failure == AttemptFailure::kBroken &&
      IsRepeatedLoss(endpoint, now))
    return;
  outcome.is_other_zone = endpoint.zone != state_->settings().zone();
  outcome.time = first_event_at.value_or(now) - sent_at;
  const bool is_whole = result.head || first_event_at || result.failure;
  const bool is_first_read =
      !selection.affinity_part.empty() &&
      parts_read_.emplace(endpoint.id, ShortHash(selection.affinity_part))
          .second;
  if (parts_read_.size() > kMaxPartsRead)
    parts_read_.clear();
  outcome.is_timed =
      is_whole && !is_first_read && !selection.endpoint->IsCold(sent_at);
  // A caller that leaves a stream that has begun says nothing about its start.
  if (outcome.kind == Kind::kAbandoned && first_event_at)
    outcome.kind = Kind::kAnswered;
  state_->rollouts().OnEnd(request.service->name, RouteOf(request), endpoint,
                           outcome);
}

bool RolloutGuard::IsRepeatedLoss(const EndpointRecord& endpoint,
                                  Timestamp now) {
  if (last_loss_at_.size() > kMaxLosses)
    last_loss_at_.clear();
  const auto [found, is_first] = last_loss_at_.try_emplace(endpoint.id, now);
  const bool is_repeated = !is_first && now - found->second < kLossWindow;
  found->second = now;
  return is_repeated;
}

}  // namespace teaselthread
