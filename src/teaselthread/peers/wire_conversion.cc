#include "teaselthread/peers/wire_conversion.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

uint32_t ToMilliseconds(Duration duration) {
  const auto count = duration_cast<milliseconds>(duration).count();
  return static_cast<uint32_t>(std::max<int64_t>(count, 0));
}

}  // namespace

wire::MemberUpdate ToWire(const Member& member) {
  wire::MemberUpdate update;
  update.set_name(member.name);
  update.set_incarnation(member.incarnation.value());
  update.set_zone(member.zone);
  update.set_peer_address(member.peer_address);
  update.set_caller_address(member.caller_address);
  update.set_status(static_cast<uint32_t>(member.status));
  update.set_generation(member.generation);
  return update;
}

Member FromWire(const wire::MemberUpdate& update) {
  Member member;
  member.name = update.name();
  member.incarnation = Incarnation(update.incarnation());
  member.zone = update.zone();
  member.peer_address = update.peer_address();
  member.caller_address = update.caller_address();
  const auto last = static_cast<uint32_t>(MemberStatus::kDead);
  member.status = static_cast<MemberStatus>(std::min(update.status(), last));
  member.generation = update.generation();
  return member;
}

wire::EndpointLoad ToWire(const EndpointLoad& load) {
  wire::EndpointLoad message;
  message.set_endpoint(load.endpoint);
  message.set_owner(load.owner);
  message.set_load(load.load);
  message.set_temperature(static_cast<uint32_t>(load.temperature));
  message.set_sequence(load.sequence);
  return message;
}

EndpointLoad FromWire(const wire::EndpointLoad& load) {
  const bool is_warm =
      load.temperature() == static_cast<uint32_t>(EndpointTemperature::kWarm);
  return {load.endpoint(), load.owner(), load.load(),
          is_warm ? EndpointTemperature::kWarm : EndpointTemperature::kCold,
          load.sequence()};
}

wire::EndpointEntry ToWire(const Endpoint& endpoint) {
  wire::EndpointEntry entry;
  entry.set_name(endpoint.name);
  entry.set_zone(endpoint.zone);
  entry.set_address(endpoint.address.ToString());
  entry.set_kind(static_cast<uint32_t>(endpoint.kind));
  for (const std::string& target : endpoint.serves)
    entry.add_serves(target);
  entry.set_leaving(endpoint.leaving);
  return entry;
}

std::optional<Endpoint> FromWire(const wire::EndpointEntry& entry) {
  const Result<SocketAddress> address = SocketAddress::Parse(entry.address());
  if (!address || entry.serves().empty())
    return std::nullopt;
  const bool is_service =
      entry.kind() == static_cast<uint32_t>(EndpointKind::kService);
  return Endpoint{
      entry.name(),
      entry.zone(),
      *address,
      is_service ? EndpointKind::kService : EndpointKind::kModelEngine,
      {entry.serves().begin(), entry.serves().end()},
      entry.leaving()};
}

wire::ForwardRequest ToWire(const RequestContext& context, Timestamp now) {
  const CallerRequest& request = context.request;
  wire::ForwardRequest message;
  message.set_request_id(request.id);
  message.set_customer(request.customer);
  message.set_profile(request.profile);
  message.set_chat(request.chat);
  message.set_hint(request.hint);
  if (request.kind == EndpointKind::kModelEngine)
    message.set_model(request.target);
  else
    message.set_service(request.target);
  message.set_method(request.method);
  message.set_path(request.path);
  message.set_content_type(request.content_type);
  message.set_body(request.body);
  message.set_idempotency_key(request.idempotency_key);
  message.set_streamed(request.streamed);
  message.set_remaining_ms(ToMilliseconds(context.deadline - now));
  if (context.profile) {
    message.set_priority(static_cast<uint32_t>(context.profile->priority));
    message.set_repeatable(context.profile->repeatable);
  }
  return message;
}

CallerRequest FromWire(const wire::ForwardRequest& message) {
  CallerRequest request;
  request.id = message.request_id();
  request.customer = message.customer();
  request.profile = message.profile();
  request.chat = message.chat();
  request.hint = message.hint();
  const bool is_service = !message.service().empty();
  request.kind =
      is_service ? EndpointKind::kService : EndpointKind::kModelEngine;
  request.target = is_service ? message.service() : message.model();
  request.method = message.method();
  request.path = message.path();
  request.content_type = message.content_type();
  request.body = message.body();
  request.idempotency_key = message.idempotency_key();
  request.streamed = message.streamed();
  request.remaining = milliseconds(message.remaining_ms());
  return request;
}

wire::ForwardFrame ToWire(const RefusedNotRun& refusal) {
  wire::ForwardFrame frame;
  frame.mutable_not_run()->set_reason(static_cast<uint32_t>(refusal.reason));
  frame.mutable_not_run()->set_retry_after_ms(
      ToMilliseconds(refusal.retry_after));
  return frame;
}

wire::ForwardFrame ToWire(const MayHaveRun& unknown) {
  wire::ForwardFrame frame;
  frame.mutable_maybe_run()->set_reason(static_cast<uint32_t>(unknown.reason));
  return frame;
}

RefusedNotRun FromWire(const wire::NotRun& refusal) {
  const bool is_known = refusal.reason() < kRefusalReasonCount;
  return {is_known ? static_cast<RefusalReason>(refusal.reason())
                   : RefusalReason::kNotReady,
          milliseconds(refusal.retry_after_ms())};
}

UnknownReason FromWire(const wire::MaybeRun& unknown) {
  return unknown.reason() < kUnknownReasonCount
             ? static_cast<UnknownReason>(unknown.reason())
             : UnknownReason::kOwnerLost;
}

}  // namespace teaselthread
