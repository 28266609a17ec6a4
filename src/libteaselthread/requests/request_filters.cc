#include "libteaselthread/requests/request_filters.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr Duration kNotReadyRetryAfter = milliseconds(1'000);
// The request will be refused again unless the caller changes it.
constexpr Duration kNoRetry = Duration::zero();

}  // namespace

std::optional<RefusedNotRun> ProfileFilter::Apply(RequestContext& context,
                                                  Timestamp /*now*/) {
  const auto configuration = fleet_.configuration->current();
  if (!configuration)
    return RefusedNotRun{RefusalReason::kNotReady, kNotReadyRetryAfter};
  const CallerRequest& request = context.request;
  const Profile* profile = configuration->FindProfile(request.profile);
  if (!profile)
    return RefusedNotRun{RefusalReason::kUnknownProfile, kNoRetry};
  if (request.kind == EndpointKind::kModelEngine &&
      !configuration->FindModel(request.target)) {
    return RefusedNotRun{RefusalReason::kUnknownModel, kNoRetry};
  }
  if (request.kind == EndpointKind::kService &&
      !configuration->FindService(request.target)) {
    return RefusedNotRun{RefusalReason::kUnknownService, kNoRetry};
  }
  context.profile = *profile;
  return std::nullopt;
}

std::optional<RefusedNotRun> DeadlineFilter::Apply(RequestContext& context,
                                                   Timestamp now) {
  Duration remaining = context.profile->deadline;
  if (context.request.remaining)
    remaining = std::min(remaining, *context.request.remaining);
  if (remaining <= Duration::zero())
    return RefusedNotRun{RefusalReason::kDeadlinePassed, kNoRetry};
  context.deadline = now + remaining;
  return std::nullopt;
}

std::optional<RefusedNotRun> TicketFilter::Apply(RequestContext& context,
                                                 Timestamp /*now*/) {
  if (context.profile->repeatable)
    return std::nullopt;
  const std::string& key = context.request.idempotency_key;
  if (!Ticket::LooksLikeTicket(key))
    return RefusedNotRun{RefusalReason::kTicketRequired, kNoRetry};
  if (!Ticket::ParseKey(key))
    return RefusedNotRun{RefusalReason::kTicketMalformed, kNoRetry};
  return std::nullopt;
}

std::optional<RefusedNotRun> LimitFilter::Apply(RequestContext& context,
                                                Timestamp now) {
  const std::string& customer = context.request.customer;
  const CustomerLimits& limits =
      fleet_.configuration->current()->LimitsOf(customer);
  const size_t node_count = fleet_.membership->serving().size();
  auto refusal = limiter_.TryBegin(customer, limits, node_count, now);
  context.counted_by_limiter = !refusal;
  return refusal;
}

void LimitFilter::OnEnd(const RequestContext& context) {
  if (context.counted_by_limiter)
    limiter_.End(context.request.customer);
}

FilterChain MakeEntryChain(FleetView fleet) {
  FilterChain chain;
  chain.Append(std::make_unique<ProfileFilter>(fleet));
  chain.Append(std::make_unique<DeadlineFilter>());
  chain.Append(std::make_unique<TicketFilter>());
  chain.Append(std::make_unique<LimitFilter>(fleet));
  return chain;
}

}  // namespace teaselthread
