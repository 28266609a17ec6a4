#include "teaselthread/requests/hedged_attempt.h"

#include <algorithm>
#include <exception>

namespace teaselthread {

HedgedAttempt::HedgedAttempt(GatewayState* state,
                             EndpointConnections* connections,
                             CrashGuard* crash_guard,
                             EndpointPlacement* placement,
                             RequestExchange* exchange,
                             Selection selection,
                             SelectHedge select_hedge)
    : state_(state),
      connections_(connections),
      crash_guard_(crash_guard),
      placement_(placement),
      log_(state),
      exchange_(exchange),
      select_hedge_(std::move(select_hedge)),
      service_(exchange->request.service->name),
      started_at_(state->Now()),
      hedge_body_(&state->buffers()),
      signal_(state->io()) {
  first_.attempt =
      MakeAttempt(std::move(selection), AttemptRole::kFirst, exchange->guard);
}

asio::awaitable<HedgedAttempt::Outcome> HedgedAttempt::Run() {
  if (!IsHedgeable()) {
    first_.result = co_await first_.attempt->Run();
    co_return Outcome{std::move(first_.result), first_.attempt->selection(),
                      AttemptRole::kFirst};
  }
  const std::string& route = exchange_->request.route->name;
  const auto delay = state_->HedgePolicyFor(service_).DelayFor(route);
  Start(first_);
  if (delay)
    co_await WaitUntilLate(*delay);
  const bool is_late = delay && first_.runs() && !exchange_->guard->is_final();
  const EndpointPtr& first_endpoint = first_.attempt->selection().endpoint;
  if (is_late) {
    state_->HedgePolicyFor(service_).OnLate();
    state_->overdue_attempts().Add(first_endpoint->record().id);
    TryHedge(*delay);
  }
  co_await WaitForResponse();
  Outcome outcome = co_await Finish();
  if (is_late)
    state_->overdue_attempts().Remove(first_endpoint->record().id);
  RecordTimes(is_late, outcome);
  co_return outcome;
}

bool HedgedAttempt::IsHedgeable() const {
  return state_->settings().hedging_share() > 0 &&
         exchange_->request.route->kind == RequestKind::kIdempotent;
}

std::unique_ptr<TrackedAttempt> HedgedAttempt::MakeAttempt(
    Selection selection,
    AttemptRole role,
    std::shared_ptr<RequestGuard> guard) {
  return std::make_unique<TrackedAttempt>(
      state_, connections_, crash_guard_, placement_, exchange_,
      std::move(selection), role, std::move(guard));
}

void HedgedAttempt::Start(Side& side) {
  asio::co_spawn(state_->io(), Drive(side),
                 [this, &side](const std::exception_ptr& exception) {
                   if (exception)
                     side.result.failure = AttemptFailure::kBroken;
                   side.ended = true;
                   side.ended_at = state_->Now();
                   signal_.cancel();
                 });
}

asio::awaitable<void> HedgedAttempt::Drive(Side& side) {
  side.result = co_await side.attempt->Run();
}

asio::awaitable<void> HedgedAttempt::WaitUntil(
    const std::function<bool()>& condition) {
  signal_.expires_at(std::chrono::steady_clock::time_point::max());
  while (!condition())
    co_await signal_.async_wait(kAsTuple);
}

asio::awaitable<void> HedgedAttempt::WaitUntilLate(Duration delay) {
  signal_.expires_at(GatewayState::ToSteady(started_at_ + delay));
  while (first_.runs() && state_->Now() < started_at_ + delay)
    co_await signal_.async_wait(kAsTuple);
}

void HedgedAttempt::TryHedge(Duration delay) {
  const HedgeQuery query = MakeHedgeQuery();
  std::variant<Selection, HedgeDenial> choice = ChooseHedge(query);
  LogChoice(choice, query, delay);
  if (const auto* denial = std::get_if<HedgeDenial>(&choice)) {
    state_->metrics().OnHedgeDenied(*denial);
    return;
  }
  state_->metrics().OnHedgeSent();
  StartHedge(std::get<Selection>(std::move(choice)));
}

std::variant<Selection, HedgeDenial> HedgedAttempt::ChooseHedge(
    const HedgeQuery& query) {
  HedgePolicy& policy = state_->HedgePolicyFor(service_);
  const Timestamp now = state_->Now();
  if (const auto denial = policy.Check(query, now))
    return *denial;
  std::optional<Selection> selection =
      select_hedge_(state_->overdue_attempts().EndpointsInDoubt(
          state_->endpoints().Available(service_, now), now));
  if (!selection)
    return HedgeDenial::kNoEndpoint;
  if (!hedge_body_.Grow(exchange_->message.body().size()))
    return HedgeDenial::kNoBufferSpace;
  const auto denial =
      policy.TryTake(&state_->RetryAllowanceFor(service_),
                     state_->peers().NodesSharingLimits(now).size(), now);
  if (denial)
    return *denial;
  return *std::move(selection);
}

HedgeQuery HedgedAttempt::MakeHedgeQuery() const {
  const Timestamp now = state_->Now();
  HedgeQuery query;
  query.route = exchange_->request.route->name;
  query.may_run_elsewhere = exchange_->attempts.MayHedge();
  query.time_left = exchange_->request.deadline - now;
  query.waiting = state_->WaitingFor(service_).size();
  const std::vector<EndpointPtr> endpoints =
      state_->endpoints().Available(service_, now);
  for (const EndpointPtr& endpoint : endpoints) {
    query.mean_load_share += endpoint->EstimatedLoad(now) /
                             std::max(1u, endpoint->record().slots) /
                             static_cast<double>(endpoints.size());
  }
  return query;
}

void HedgedAttempt::StartHedge(Selection selection) {
  exchange_->hedge = HedgeOutcome::kFailed;
  exchange_->runs_in_parallel = true;
  hedge_guard_ = std::make_shared<RequestGuard>(
      state_->io().get_executor(),
      GatewayState::ToSteady(exchange_->request.deadline));
  exchange_->guard->set_on_final(
      [guard = hedge_guard_](AttemptFailure reason) { guard->Cancel(reason); });
  hedge_guard_->Start();
  hedge_.attempt =
      MakeAttempt(std::move(selection), AttemptRole::kHedge, hedge_guard_);
  Start(hedge_);
}

asio::awaitable<void> HedgedAttempt::WaitForResponse() {
  const auto is_decided = [this] {
    return first_.succeeded() || hedge_.succeeded() ||
           (!first_.runs() && !hedge_.runs());
  };
  while (!is_decided()) {
    const bool one_runs = first_.runs() != hedge_.runs();
    co_await WaitUntil([&] {
      return is_decided() || (!one_runs && first_.runs() != hedge_.runs());
    });
    if (first_.failed() && hedge_.runs())
      RecordFailure(first_);
    if (hedge_.failed() && first_.runs())
      RecordFailure(hedge_);
  }
}

void HedgedAttempt::RecordFailure(Side& side) {
  if (side.failure_recorded)
    return;
  side.failure_recorded = true;
  exchange_->runs_in_parallel = false;
  const AttemptFailure failure = *side.result.failure;
  exchange_->attempts.OnParallelFailure(failure, side.attempt->role());
  if (failure == AttemptFailure::kRejected)
    state_->HedgePolicyFor(service_).OnRejection(state_->Now());
  state_->metrics().OnAttemptFailure(failure, false);
  log_.OnAttemptFailed(*exchange_, side.attempt->selection(), side.result,
                       false);
  side.attempt->guard().ClearSilence();
}

asio::awaitable<HedgedAttempt::Outcome> HedgedAttempt::Finish() {
  exchange_->guard->set_on_final(nullptr);
  exchange_->runs_in_parallel = false;
  const bool has_response = first_.succeeded() || hedge_.succeeded();
  // Of two failures, the one that has not been recorded decides what follows.
  const bool hedge_decides =
      has_response ? !first_.succeeded() : first_.failure_recorded;
  Side& side = hedge_decides ? hedge_ : first_;
  Side& other = hedge_decides ? first_ : hedge_;
  if (other.runs())
    co_await Cancel(other);
  else if (other.failed())
    RecordFailure(other);
  if (hedge_guard_)
    hedge_guard_->Finish();
  if (hedge_.attempt && has_response)
    exchange_->hedge = hedge_decides ? HedgeOutcome::kWon : HedgeOutcome::kLost;
  if (exchange_->hedge == HedgeOutcome::kWon)
    state_->metrics().OnHedgeWon();
  co_return Outcome{std::move(side.result), side.attempt->selection(),
                    side.attempt->role()};
}

asio::awaitable<void> HedgedAttempt::Cancel(Side& side) {
  side.attempt->guard().Cancel(AttemptFailure::kCancelled);
  co_await WaitUntil([&side] { return side.ended; });
  // Its response may have arrived at the same time.
  if (side.result.failure == AttemptFailure::kCancelled)
    state_->metrics().OnParallelAttemptCancelled();
  LogLine line("attempt-cancelled");
  line.Add("id", exchange_->request.head.id)
      .Add("endpoint", side.attempt->selection().endpoint->record().id)
      .Add("hedge", side.attempt->role() == AttemptRole::kHedge)
      .AddTime("elapsed", state_->Now() - exchange_->request.received_at);
  state_->log().Info(line);
}

void HedgedAttempt::RecordTimes(bool was_late, const Outcome& outcome) {
  HedgePolicy& policy = state_->HedgePolicyFor(service_);
  const bool has_response = !was_late && !outcome.result.failure;
  if (was_late || has_response) {
    policy.OnResponseTime(exchange_->request.route->name,
                          first_.ended_at - started_at_);
  }
  if (has_response)
    policy.OnResponseInTime();
}

void HedgedAttempt::LogChoice(
    const std::variant<Selection, HedgeDenial>& choice,
    const HedgeQuery& query,
    Duration delay) {
  const auto* denial = std::get_if<HedgeDenial>(&choice);
  LogLine line(denial ? "hedge-denied" : "hedge-sent");
  line.Add("id", exchange_->request.head.id)
      .Add("late_endpoint", first_.attempt->selection().endpoint->record().id);
  if (denial)
    line.Add("reason", ToString(*denial));
  else
    line.Add("endpoint", std::get<Selection>(choice).endpoint->record().id);
  line.AddTime("delay", delay)
      .AddTime("time_left", query.time_left)
      .AddRounded("mean_load_percent", 100 * query.mean_load_share)
      .Add("waiting", query.waiting)
      .Add("late_of_64", state_->HedgePolicyFor(service_).late_count())
      .AddTime("elapsed", state_->Now() - exchange_->request.received_at);
  state_->log().Info(line);
}

}  // namespace teaselthread
