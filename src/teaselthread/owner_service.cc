#include "teaselthread/owner_service.h"

#include "teaselthread/endpoint_call.h"
#include "teaselthread/peers/wire_conversion.h"

namespace teaselthread {
namespace {

constexpr Duration kRetryAfter = std::chrono::milliseconds(500);

}  // namespace

asio::awaitable<void> OwnerService::Run(wire::ForwardRequest request,
                                        std::shared_ptr<FrameSink> sink) {
  ++state_->requests_in_progress;
  for (const wire::EndpointLoad& load : request.loads())
    state_->loads().Merge(FromWire(load), state_->Now());
  const Timestamp received_at = state_->Now();
  AdmissionRequest admission;
  admission.id = ++last_call_id_;
  admission.customer = request.customer();
  admission.priority = static_cast<int>(request.priority());
  admission.deadline =
      received_at + std::chrono::milliseconds(request.remaining_ms());
  admission.max_wait = std::chrono::milliseconds(request.max_wait_ms());
  const AdmissionDecision decision = co_await Admit(request, admission, *sink);
  if (decision.verdict == AdmissionVerdict::kAdmitted) {
    state_->metrics().OnAdmission(state_->loads().LoadOf(request.endpoint()));
    co_await CallEndpoint(request, state_->Now(), admission.deadline, *sink);
    Resolve(state_->admission().End(request.endpoint(), admission.id,
                                    state_->Now()));
  } else {
    wire::ForwardFrame refusal =
        ToWire(RefusedNotRun{decision.reason, decision.retry_after});
    AttachLoads(request, &refusal);
    sink->Write(std::move(refusal));
  }
  sink->Close();
  --state_->requests_in_progress;
}

void OwnerService::Resolve(const std::vector<QueueResult>& results) {
  for (const QueueResult& result : results) {
    auto found = waiters_.find(result.id);
    if (found == waiters_.end())
      continue;
    found->second->decision = result.decision;
    found->second->signal.cancel();
    waiters_.erase(found);
  }
}

asio::awaitable<AdmissionDecision> OwnerService::Admit(
    const wire::ForwardRequest& request,
    const AdmissionRequest& admission,
    FrameSink& sink) {
  AdmissionDecision decision =
      state_->admission().Submit(request.endpoint(), admission, state_->Now());
  if (decision.verdict == AdmissionVerdict::kRefused)
    co_return decision;
  wire::ForwardFrame accepted;
  accepted.mutable_accepted()->set_endpoint(request.endpoint());
  accepted.mutable_accepted()->set_queued(decision.verdict ==
                                          AdmissionVerdict::kQueued);
  AttachLoads(request, &accepted);
  sink.Write(std::move(accepted));
  if (decision.verdict == AdmissionVerdict::kAdmitted)
    co_return decision;
  auto waiter = std::make_shared<Waiter>(state_->io());
  waiters_.emplace(admission.id, waiter);
  // The admission controller's Tick refuses the call when its deadline passes.
  waiter->signal.expires_at(asio::steady_timer::time_point::max());
  while (!waiter->decision)
    co_await waiter->signal.async_wait(kAsTuple);
  co_return *waiter->decision;
}

asio::awaitable<void> OwnerService::CallEndpoint(
    const wire::ForwardRequest& request,
    Timestamp admitted_at,
    Timestamp deadline,
    FrameSink& sink) {
  const Endpoint* endpoint = state_->directory().Find(request.endpoint());
  if (!endpoint || sink.cancelled()) {
    sink.Write(ToWire(RefusedNotRun{RefusalReason::kNoEndpoint, kRetryAfter}));
    co_return;
  }
  const TimingSettings& timing = state_->settings().timing();
  EndpointCall call(*endpoint, request,
                    {timing.connect_timeout, timing.progress_timeout, deadline,
                     admitted_at + timing.fence_timeout},
                    &pool_, [this] { return state_->Now(); });
  const Outcome outcome = co_await call.Run(sink);
  const std::string& name = request.endpoint();
  if (call.first_byte_latency()) {
    state_->admission().OnFirstByte(name, *call.first_byte_latency(),
                                    state_->Now());
    state_->metrics().OnFirstByte(state_->Now() - admitted_at);
  }
  if (const RefusedNotRun* refused = outcome.refused()) {
    if (refused->reason == RefusalReason::kEndpointUnreachable)
      state_->admission().OnEndpointUnreachable(name, state_->Now());
    sink.Write(ToWire(*refused));
  } else if (const MayHaveRun* unknown = outcome.may_have_run()) {
    sink.Write(ToWire(*unknown));
  }
}

void OwnerService::AttachLoads(const wire::ForwardRequest& request,
                               wire::ForwardFrame* frame) const {
  const EndpointLoad* load = state_->loads().Find(request.endpoint());
  if (load)
    *frame->add_loads() = ToWire(*load);
}

}  // namespace teaselthread
