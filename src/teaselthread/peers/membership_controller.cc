#include "teaselthread/peers/membership_controller.h"

#include "teaselthread/peers/wire_conversion.h"

namespace teaselthread {
namespace {

constexpr size_t kOwnedLoadsPerHeartbeat = 8;
constexpr size_t kRelayedLoadsPerHeartbeat = 4;

}  // namespace

MembershipController::MembershipController(NodeState* state,
                                           PeerClient* peers,
                                           StateFetcher* fetcher)
    : state_(state), peers_(peers), fetcher_(fetcher) {
  state_->timers().Subscribe(state_->settings().timing().heartbeat_interval,
                             state_->Now(),
                             [this](Timestamp now) { Tick(now); });
}

wire::HeartbeatMessage MembershipController::OnHeartbeat(
    const wire::HeartbeatMessage& message) {
  ApplyHeartbeat(message);
  return MakeHeartbeat();
}

void MembershipController::OnProbe(
    const wire::ProbeRequest& request,
    PeerHandler::Respond<wire::ProbeReply> respond) {
  peers_->Call(
      &PeerClient::Methods::Heartbeat, request.target_address(),
      MakeHeartbeat(), state_->settings().timing().heartbeat_timeout,
      [this, respond](const std::optional<wire::HeartbeatMessage>& reply) {
        if (reply)
          ApplyHeartbeat(*reply);
        wire::ProbeReply result;
        result.set_reachable(reply.has_value());
        respond(result);
      });
}

void MembershipController::Tick(Timestamp now) {
  for (const SendHeartbeat& heartbeat : state_->membership().Tick(now))
    Send(heartbeat);
}

void MembershipController::Send(const SendHeartbeat& heartbeat) {
  wire::HeartbeatMessage message = MakeHeartbeat();
  state_->metrics().OnHeartbeatSent(message.ByteSizeLong());
  peers_->Call(
      &PeerClient::Methods::Heartbeat, heartbeat.address, std::move(message),
      state_->settings().timing().heartbeat_timeout,
      [this, heartbeat](const std::optional<wire::HeartbeatMessage>& reply) {
        if (reply)
          ApplyHeartbeat(*reply);
        else
          OnFailed(heartbeat);
      });
}

void MembershipController::OnFailed(const SendHeartbeat& heartbeat) {
  state_->metrics().OnHeartbeatFailed();
  peers_->DropConnection(heartbeat.address);
  const std::vector<SendProbe> probes =
      state_->membership().OnHeartbeatFailed(heartbeat.name, state_->Now());
  if (probes.empty())
    return;
  // The member is suspected only if none of the probing peers has reached it.
  auto pending = std::make_shared<size_t>(probes.size());
  auto reached = std::make_shared<bool>(false);
  for (const SendProbe& probe : probes) {
    wire::ProbeRequest request;
    request.set_target_address(probe.target_address);
    peers_->Call(
        &PeerClient::Methods::ProbePeer, probe.via_address, std::move(request),
        2 * state_->settings().timing().heartbeat_timeout,
        [this, pending, reached,
         target = probe.target](const std::optional<wire::ProbeReply>& reply) {
          *reached = *reached || (reply && reply->reachable());
          if (--*pending == 0) {
            state_->membership().OnProbeResult(target, *reached, state_->Now());
          }
        });
  }
}

wire::HeartbeatMessage MembershipController::MakeHeartbeat() {
  wire::HeartbeatMessage message;
  *message.mutable_sender() = ToWire(state_->membership().self());
  for (const Member& member : state_->membership().PickUpdates())
    *message.add_updates() = ToWire(member);
  // Every message has the loads of the endpoints that this node owns, and a
  // selection of the loads of other endpoints, both up to a limit.
  for (const std::string& name : state_->admission().OwnedEndpoints()) {
    const EndpointLoad* load = state_->loads().Find(name);
    if (load &&
        message.loads_size() < static_cast<int>(kOwnedLoadsPerHeartbeat))
      *message.add_loads() = ToWire(*load);
  }
  for (const EndpointLoad& load :
       state_->loads().PickForPeer(kRelayedLoadsPerHeartbeat)) {
    *message.add_loads() = ToWire(load);
  }
  message.set_configuration_version(state_->configuration().version());
  message.set_endpoints_version(state_->directory().version());
  return message;
}

void MembershipController::ApplyHeartbeat(
    const wire::HeartbeatMessage& message) {
  std::vector<Member> updates;
  for (const wire::MemberUpdate& update : message.updates())
    updates.push_back(FromWire(update));
  state_->membership().OnContact(FromWire(message.sender()), updates,
                                 state_->Now());
  for (const wire::EndpointLoad& load : message.loads())
    state_->loads().Merge(FromWire(load), state_->Now());
  fetcher_->OnPeerVersions(message);
}

}  // namespace teaselthread
