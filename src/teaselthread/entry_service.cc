#include "teaselthread/entry_service.h"

#include <algorithm>

#include "teaselthread/peers/wire_conversion.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Interval of the progress checks on an attempt that sends no frames.
constexpr Duration kProgressCheckInterval = milliseconds(200);
// An owner accepts or refuses a call immediately; one that has done neither
// within this time is considered lost.
constexpr Duration kAcceptTimeout = milliseconds(1'000);
constexpr Duration kChannelTimeout = milliseconds(500);
constexpr Duration kChannelPollInterval = milliseconds(5);
constexpr Duration kRetryAfter = milliseconds(500);
const std::string kNoAddress;
// Applies until the key's home node has looked up the deadline of the profile.
constexpr Duration kDefaultDeadline = std::chrono::seconds(60);

PlacementQuery MakeQuery(const CallerRequest& request) {
  PlacementQuery query;
  query.kind = request.kind;
  query.target = request.target;
  query.hint = request.hint;
  query.affinity = request.customer + "/" +
                   (request.chat.empty() ? request.id : request.chat);
  return query;
}

uint64_t FingerprintOf(const CallerRequest& request) {
  return IdempotencyTable::Fingerprint(request.method, request.path,
                                       request.body);
}

std::string WaiterKey(const CallerRequest& request) {
  return request.customer + "\n" + request.idempotency_key;
}

Outcome Unknown(UnknownReason reason) {
  return UnsentCall().MarkPossiblySent().MarkUnknown(reason);
}

}  // namespace

// Buffers a complete response instead of relaying it.
class EntryService::BufferingSink : public ResponseSink {
 public:
  asio::awaitable<bool> OnHead(const RelayHead& head,
                               const std::string& /*next_address*/) override {
    head_ = head;
    co_return true;
  }
  asio::awaitable<bool> OnData(std::string bytes) override {
    body_.append(bytes);
    co_return true;
  }
  asio::awaitable<void> OnFinish(const Outcome& /*outcome*/) override {
    co_return;
  }

  const RelayHead& head() const { return head_; }
  const std::string& body() const { return body_; }

 private:
  RelayHead head_;
  std::string body_;
};

// The attempt of a request that is in progress.
struct EntryService::Attempt {
  std::shared_ptr<FrameQueue> frames;
  std::string owner;
  Incarnation owner_incarnation;
  Timestamp last_progress{};
  bool accepted = false;
  bool streaming = false;

  void Stop() {
    if (frames)
      frames->Cancel();
  }
};

asio::awaitable<void> EntryService::Serve(CallerRequest request,
                                          ResponseSink& sink) {
  ++state_->requests_in_progress;
  const Timestamp started_at = state_->Now();
  RequestContext context;
  context.request = std::move(request);
  const Outcome outcome = co_await Process(context, sink);
  state_->metrics().OnOutcome(ProfileLabel(context.request), outcome,
                              state_->Now() - started_at);
  co_await sink.OnFinish(outcome);
  --state_->requests_in_progress;
}

asio::awaitable<Outcome> EntryService::Process(RequestContext& context,
                                               ResponseSink& sink) {
  const std::optional<Ticket> ticket = KeyedTicket(context.request);
  if (!ticket)
    co_return co_await ServeFiltered(context, sink);
  context.deadline =
      state_->Now() + context.request.remaining.value_or(kDefaultDeadline);
  co_return co_await ServeKeyed(context, *ticket, sink);
}

void EntryService::WriteResponse(const BufferingSink& response,
                                 FrameSink& sink) {
  wire::ForwardFrame head;
  head.mutable_head()->set_status(
      static_cast<uint32_t>(response.head().status));
  head.mutable_head()->set_content_type(response.head().content_type);
  sink.Write(std::move(head));
  wire::ForwardFrame data;
  data.set_data(response.body());
  sink.Write(std::move(data));
  wire::ForwardFrame end;
  end.mutable_end()->set_body_bytes(response.body().size());
  sink.Write(std::move(end));
}

asio::awaitable<void> EntryService::ServeForPeer(
    wire::ForwardRequest message,
    std::shared_ptr<FrameSink> sink) {
  ++state_->requests_in_progress;
  RequestContext context;
  context.request = FromWire(message);
  context.deadline = state_->Now() + *context.request.remaining;
  BufferingSink buffered;
  const Outcome outcome = co_await RunKeyed(context, buffered);
  if (const RefusedNotRun* refused = outcome.refused()) {
    sink->Write(ToWire(*refused));
  } else if (const MayHaveRun* unknown = outcome.may_have_run()) {
    sink->Write(ToWire(*unknown));
  } else {
    WriteResponse(buffered, *sink);
  }
  sink->Close();
  --state_->requests_in_progress;
}

std::optional<Ticket> EntryService::KeyedTicket(
    const CallerRequest& request) const {
  const auto configuration = state_->configuration().current();
  const Profile* profile =
      configuration ? configuration->FindProfile(request.profile) : nullptr;
  if (profile && profile->repeatable)
    return std::nullopt;
  return Ticket::ParseKey(request.idempotency_key);
}

std::string EntryService::ProfileLabel(const CallerRequest& request) const {
  const auto configuration = state_->configuration().current();
  const bool is_known =
      configuration && configuration->FindProfile(request.profile);
  return is_known ? request.profile : "none";
}

std::string EntryService::CallerAddressOf(const std::string& node) const {
  const auto configuration = state_->configuration().current();
  const Member* member = state_->membership().Find(node);
  const bool accepts_callers = member && configuration &&
                               member->status == MemberStatus::kAlive &&
                               !configuration->ZoneIsOut(member->zone) &&
                               !configuration->VmIsOut(member->name);
  return accepts_callers ? member->caller_address : kNoAddress;
}

asio::awaitable<Outcome> EntryService::ServeFiltered(RequestContext& context,
                                                     ResponseSink& sink) {
  if (const auto refusal = state_->filters().Apply(context, state_->Now()))
    co_return UnsentCall().Refuse(refusal->reason, refusal->retry_after);
  const Outcome outcome = co_await RunRouted(context, sink);
  state_->filters().OnEnd(context);
  co_return outcome;
}

asio::awaitable<Outcome> EntryService::ServeKeyed(const RequestContext& context,
                                                  const Ticket& ticket,
                                                  ResponseSink& sink) {
  const Member* home = state_->membership().FindIncarnation(ticket.home());
  if (!home || home->status == MemberStatus::kDead)
    co_return Unknown(UnknownReason::kHomeGone);
  if (home == &state_->membership().self())
    co_return co_await RunKeyed(context, sink);
  const std::string address = home->peer_address;
  co_return co_await DelegateToHome(context, address, sink);
}

asio::awaitable<Outcome> EntryService::RunRouted(const RequestContext& context,
                                                 ResponseSink& sink) {
  RoutedRequest routed(&state_->router(), &state_->retry_budget(),
                       MakeQuery(context.request), context.profile->repeatable);
  Attempt attempt;
  RouteActions actions = routed.Start(state_->Now());
  for (;;) {
    bool caller_is_connected = true;
    for (const RouteAction& action : actions) {
      if (const auto* forward = std::get_if<ForwardCall>(&action)) {
        attempt.Stop();
        co_await StartAttempt(context, *forward, &attempt);
      } else if (const auto* head = std::get_if<RelayHead>(&action)) {
        const std::string next_address = CallerAddressOf(head->owner);
        caller_is_connected = co_await sink.OnHead(*head, next_address);
      } else if (const auto* data = std::get_if<RelayData>(&action)) {
        std::string bytes = data->bytes;
        caller_is_connected = co_await sink.OnData(std::move(bytes));
      } else {
        if (!std::get<FinishCall>(action).outcome.answered())
          attempt.Stop();
        co_return std::get<FinishCall>(action).outcome;
      }
    }
    if (caller_is_connected)
      actions = co_await NextActions(context, routed, attempt);
    else
      actions = routed.OnCallerDisconnected();
  }
}

asio::awaitable<Outcome> EntryService::RunKeyed(const RequestContext& context,
                                                ResponseSink& sink) {
  const CallerRequest& request = context.request;
  for (;;) {
    const KeyDecision decision = state_->idempotency().Begin(
        request.customer, request.idempotency_key, FingerprintOf(request),
        state_->Wall(), state_->Now());
    switch (decision.verdict) {
      case KeyVerdict::kRun:
        co_return co_await RunFirstUse(context, sink);
      case KeyVerdict::kRefused:
        co_return UnsentCall().Refuse(*decision.refusal, kRetryAfter);
      case KeyVerdict::kUnknown:
        co_return Unknown(*decision.unknown);
      case KeyVerdict::kReplay: {
        const RelayHead head{decision.answer->status,
                             decision.answer->content_type, "", ""};
        co_await sink.OnHead(head, kNoAddress);
        std::string body = decision.answer->body;
        co_await sink.OnData(std::move(body));
        co_return UnsentCall().MarkPossiblySent().Answer();
      }
      case KeyVerdict::kJoin:
        co_await WaitForKey(context);
        if (state_->Now() >= context.deadline)
          co_return Unknown(UnknownReason::kTimedOut);
    }
  }
}

asio::awaitable<Outcome> EntryService::RunFirstUse(RequestContext context,
                                                   ResponseSink& sink) {
  BufferingSink buffered;
  const Outcome outcome = co_await ServeFiltered(context, buffered);
  IdempotencyTable& table = state_->idempotency();
  const std::string& customer = context.request.customer;
  const std::string& key = context.request.idempotency_key;
  if (const MayHaveRun* unknown = outcome.may_have_run()) {
    table.MarkUnknown(customer, key, unknown->reason);
  } else if (outcome.refused()) {
    table.Withdraw(customer, key);
  } else {
    table.Complete(
        customer, key,
        {buffered.head().status, buffered.head().content_type, buffered.body()},
        state_->Now());
  }
  NotifyKeyWaiters(context);
  if (outcome.answered()) {
    co_await sink.OnHead(buffered.head(), kNoAddress);
    std::string body = buffered.body();
    co_await sink.OnData(std::move(body));
  }
  co_return outcome;
}

asio::awaitable<Outcome> EntryService::DelegateToHome(
    const RequestContext& context,
    const std::string& address,
    ResponseSink& sink) {
  UnsentCall unsent;
  if (!co_await ChannelIsReady(address)) {
    // An earlier request with the key may have run there.
    co_return Unknown(UnknownReason::kHomeGone);
  }
  wire::ForwardRequest message = ToWire(context, state_->Now());
  message.set_stage(wire::FORWARD_STAGE_HOME);
  const auto frames = peers_->Forward(address, message);
  PossiblySentCall possibly_sent = std::move(unsent).MarkPossiblySent();
  const Outcome outcome = co_await RelayFromHome(context, *frames, sink);
  if (const RefusedNotRun* refused = outcome.refused()) {
    co_return std::move(possibly_sent)
        .ConfirmUnsent(*refused)
        .Refuse(refused->reason, refused->retry_after);
  }
  co_return outcome;
}

asio::awaitable<Outcome> EntryService::RelayFromHome(
    const RequestContext& context,
    FrameQueue& frames,
    ResponseSink& sink) {
  RelayHead head;
  std::string body;
  for (;;) {
    wire::ForwardFrame frame;
    const FrameQueue::Event event =
        co_await frames.Next(NodeState::ToSteady(context.deadline), &frame);
    if (event == FrameQueue::Event::kTimedOut)
      co_return Unknown(UnknownReason::kTimedOut);
    if (event == FrameQueue::Event::kClosed)
      co_return Unknown(UnknownReason::kHomeGone);
    if (frame.has_not_run()) {
      const RefusedNotRun refusal = FromWire(frame.not_run());
      co_return UnsentCall().Refuse(refusal.reason, refusal.retry_after);
    }
    if (frame.has_maybe_run())
      co_return Unknown(FromWire(frame.maybe_run()));
    if (frame.has_head()) {
      head.status = static_cast<int>(frame.head().status());
      head.content_type = frame.head().content_type();
    } else if (frame.has_data()) {
      body.append(frame.data());
    } else if (frame.has_end()) {
      if (frame.end().body_bytes() != body.size())
        co_return Unknown(UnknownReason::kTruncatedAnswer);
      co_await sink.OnHead(head, kNoAddress);
      co_await sink.OnData(std::move(body));
      co_return UnsentCall().MarkPossiblySent().Answer();
    }
  }
}

asio::awaitable<void> EntryService::StartAttempt(const RequestContext& context,
                                                 const ForwardCall& forward,
                                                 Attempt* attempt) {
  if (forward.retry_of)
    state_->metrics().OnRetry(*forward.retry_of);
  *attempt = Attempt();
  attempt->owner = forward.placement.owner;
  wire::ForwardRequest message = ToWire(context, state_->Now());
  message.set_stage(wire::FORWARD_STAGE_OWNER);
  message.set_endpoint(forward.placement.endpoint);
  message.set_max_wait_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<milliseconds>(forward.placement.max_wait)
          .count()));
  message.set_resume_from(forward.resume_from);
  const EndpointLoad* load = state_->loads().Find(forward.placement.endpoint);
  if (load)
    *message.add_loads() = ToWire(*load);
  const Member* owner = state_->membership().Find(forward.placement.owner);
  const std::string address = owner ? owner->peer_address : "";
  if (owner)
    attempt->owner_incarnation = owner->incarnation;
  if (owner == &state_->membership().self()) {
    attempt->frames = std::make_shared<FrameQueue>(state_->io().get_executor());
    asio::co_spawn(state_->io(),
                   owner_->Run(std::move(message), attempt->frames),
                   asio::detached);
  } else if (owner && co_await ChannelIsReady(address)) {
    attempt->frames = peers_->Forward(address, message);
  } else {
    // Nothing has been sent to the owner, so the request cannot have run.
    attempt->frames = std::make_shared<FrameQueue>(state_->io().get_executor());
    attempt->frames->Write(
        ToWire(RefusedNotRun{RefusalReason::kNotOwner, kRetryAfter}));
  }
  attempt->last_progress = state_->Now();
}

asio::awaitable<RouteActions> EntryService::NextActions(
    const RequestContext& context,
    RoutedRequest& routed,
    Attempt& attempt) {
  const Timestamp until =
      std::min(context.deadline, state_->Now() + kProgressCheckInterval);
  wire::ForwardFrame frame;
  const FrameQueue::Event event =
      co_await attempt.frames->Next(NodeState::ToSteady(until), &frame);
  if (event == FrameQueue::Event::kClosed)
    co_return routed.OnLost(UnknownReason::kOwnerLost, state_->Now());
  if (event == FrameQueue::Event::kTimedOut)
    co_return OnNoFrame(context, routed, attempt);
  attempt.last_progress = state_->Now();
  attempt.accepted = true;
  for (const wire::EndpointLoad& load : frame.loads())
    state_->loads().Merge(FromWire(load), state_->Now());
  co_return OnFrame(frame, routed, attempt);
}

RouteActions EntryService::OnFrame(const wire::ForwardFrame& frame,
                                   RoutedRequest& routed,
                                   Attempt& attempt) {
  switch (frame.kind_case()) {
    case wire::ForwardFrame::kHead:
      attempt.streaming = true;
      return routed.OnHead(static_cast<int>(frame.head().status()),
                           frame.head().content_type(), state_->Now());
    case wire::ForwardFrame::kData:
      return routed.OnData(frame.data());
    case wire::ForwardFrame::kEnd:
      return routed.OnEnd(frame.end().body_bytes(), state_->Now());
    case wire::ForwardFrame::kNotRun:
      return routed.OnNotRun(FromWire(frame.not_run()), state_->Now());
    case wire::ForwardFrame::kMaybeRun:
      return routed.OnLost(FromWire(frame.maybe_run()), state_->Now());
    default:
      return {};
  }
}

RouteActions EntryService::OnNoFrame(const RequestContext& context,
                                     RoutedRequest& routed,
                                     Attempt& attempt) {
  const Timestamp now = state_->Now();
  if (now >= context.deadline)
    return routed.OnDeadline();
  const Member* owner = state_->membership().Find(attempt.owner);
  const bool owner_is_lost = !owner || owner->status == MemberStatus::kDead ||
                             owner->incarnation != attempt.owner_incarnation;
  if (owner_is_lost)
    return routed.OnLost(UnknownReason::kOwnerLost, state_->Now());
  const Duration idle_time = now - attempt.last_progress;
  const bool repeatable = context.profile->repeatable;
  if (repeatable && !attempt.accepted && idle_time >= kAcceptTimeout)
    return routed.OnLost(UnknownReason::kOwnerLost, state_->Now());
  const bool stream_has_stalled =
      context.request.streamed && attempt.streaming &&
      idle_time >= state_->settings().timing().progress_timeout;
  if (stream_has_stalled)
    return routed.OnLost(UnknownReason::kConnectionLost, state_->Now());
  return {};
}

asio::awaitable<bool> EntryService::ChannelIsReady(const std::string& address) {
  const Timestamp connect_deadline = state_->Now() + kChannelTimeout;
  asio::steady_timer pause(state_->io());
  while (!peers_->IsConnected(address)) {
    if (state_->Now() >= connect_deadline)
      co_return false;
    pause.expires_after(kChannelPollInterval);
    co_await pause.async_wait(kAsTuple);
  }
  co_return true;
}

asio::awaitable<void> EntryService::WaitForKey(const RequestContext& context) {
  auto signal = std::make_shared<asio::steady_timer>(state_->io());
  signal->expires_at(NodeState::ToSteady(context.deadline));
  key_waiters_[WaiterKey(context.request)].push_back(signal);
  co_await signal->async_wait(kAsTuple);
}

void EntryService::NotifyKeyWaiters(const RequestContext& context) {
  auto found = key_waiters_.find(WaiterKey(context.request));
  if (found == key_waiters_.end())
    return;
  const std::vector<KeySignal> key_signals = std::move(found->second);
  key_waiters_.erase(found);
  for (const KeySignal& signal : key_signals)
    signal->cancel();
}

}  // namespace teaselthread
