#include "teaselthread/gateway/peer_heartbeat.h"

#include <algorithm>
#include <set>
#include <utility>

#include "heartbeat.pb.h"
#include "libteaselthread/peers/change_assembler.h"
#include "libteaselthread/rendezvous_hash.h"
#include "teaselthread/gateway/heartbeat_conversion.h"

namespace teaselthread {
namespace {

// The identity is repeated for peers that have lost their record of this node.
constexpr uint32_t kHeartbeatsBetweenIdentities = 16;

// Intervals are shortened at random by up to a fifth. Gateways that start at
// the same time would otherwise always send at the same time, and each
// confirmation of the configuration would have waited for the next heartbeat
// twice.
constexpr double kMinIntervalFactor = 0.8;

// The interval of a zone leader is at most this share of the drain bound, since
// the zone relies on what the leader states about the store.
constexpr double kMaxLeaderIntervalShare = 0.25;

// Maximum number of load updates in a heartbeat: about 100 bytes.
constexpr size_t kMaxLoadUpdates = 16;
// Endpoints with an unusual speed that one heartbeat reports in addition.
constexpr size_t kMaxSpeedUpdates = 8;
// Share of suspected prompt parts in a datagram of 1,500 bytes.
constexpr size_t kMaxSuspectBytes = 700;
constexpr Duration kAgeUnit = std::chrono::milliseconds(10);

uint64_t ToMicroseconds(Timestamp time) {
  return static_cast<uint64_t>(time.time_since_epoch().count());
}

Timestamp ToTimestamp(uint64_t microseconds) {
  return Timestamp(Duration(static_cast<Duration::rep>(microseconds)));
}

asio::ip::udp::endpoint ToEndpoint(const SocketAddress& address) {
  return {asio::ip::make_address(address.host), address.port};
}

}  // namespace

Result<std::unique_ptr<PeerHeartbeat>> PeerHeartbeat::Start(
    GatewayState* state) {
  asio::ip::udp::socket socket(state->io());
  const SocketAddress& address = state->settings().peer_listen();
  const asio::ip::udp::endpoint endpoint = ToEndpoint(address);
  boost::system::error_code failure;
  socket.open(endpoint.protocol(), failure);
  if (!failure)
    socket.bind(endpoint, failure);
  if (!failure)
    socket.non_blocking(true, failure);
  if (failure) {
    return Error{ErrorCode::kUnavailable, "cannot bind peer address " +
                                              address.ToString() + ": " +
                                              failure.message()};
  }
  std::unique_ptr<PeerHeartbeat> heartbeat(
      new PeerHeartbeat(state, std::move(socket)));
  asio::co_spawn(state->io(), heartbeat->ReceiveLoop(), asio::detached);
  state->timers().Subscribe(state->settings().heartbeat_interval(),
                            state->Now(),
                            [heartbeat = heartbeat.get()](Timestamp now) {
                              heartbeat->SendIfDue(now);
                            });
  heartbeat->SendNow();
  return heartbeat;
}

PeerHeartbeat::PeerHeartbeat(GatewayState* state, asio::ip::udp::socket socket)
    : state_(state), socket_(std::move(socket)) {}

void PeerHeartbeat::SendIfDue(Timestamp now) {
  const Duration interval =
      std::chrono::duration_cast<Duration>(Interval() * interval_factor_);
  if (state_->crash_suspects().TakeUrgent()) {
    passes_on_suspects_ = false;
    SendNow();
  } else if (std::exchange(passes_on_suspects_, false)) {
    Send(false);
  } else if (now - last_sent_at_ >= interval) {
    Send(heartbeat_rounds_ % PeerSet::kHeartbeatsPerRemoteHeartbeat == 0);
  }
}

Duration PeerHeartbeat::Interval() const {
  const Timestamp now = state_->Now();
  const Duration shortest = state_->settings().heartbeat_interval();
  const Duration interval = state_->peers().HeartbeatInterval(shortest, now);
  if (!state_->peers().IsZoneLeader(now))
    return interval;
  const auto longest = std::chrono::duration_cast<Duration>(
      state_->settings().limits().drain_bound * kMaxLeaderIntervalShare);
  return std::min(interval, std::max(shortest, longest));
}

void PeerHeartbeat::SendNow() {
  Send(true);
}

void PeerHeartbeat::Send(bool include_remote_zones) {
  ++heartbeat_rounds_;
  last_sent_at_ = state_->Now();
  interval_factor_ = std::uniform_real_distribution<double>(
      kMinIntervalFactor, 1)(state_->random());
  state_->peers().SetServing(state_->IsReady());
  const Timestamp now = state_->Now();
  std::vector<SocketAddress> zone = state_->peers().ZoneTargets(now);
  const std::vector<SocketAddress> remote = state_->peers().RemoteTargets(now);
  std::shuffle(zone.begin(), zone.end(), state_->random());
  wire::GatewayHeartbeat without_load = MakeMessage();
  SetSuspects(&without_load);
  for (const RolloutReport& report : state_->rollouts().Verdicts(now))
    EncodeReport(report, without_load.add_rollout_reports());
  const ServiceRequests local = LocalRequests();
  wire::GatewayHeartbeat remote_message = without_load;
  SetListStatuses(&without_load);
  wire::GatewayHeartbeat with_load = without_load;
  std::vector<LoadUpdate> updates =
      state_->endpoints().BusiestEndpoints(kMaxLoadUpdates, now);
  state_->endpoints().AppendUnusualSpeeds(kMaxSpeedUpdates, now, &updates);
  SetLoadUpdates(updates, with_load.mutable_load());
  SetRequests(local, with_load.mutable_load());
  for (size_t i = 0; i < zone.size(); ++i)
    SendTo(zone[i], i < PeerSet::kLoadUpdateTargets ? with_load : without_load);
  if (include_remote_zones) {
    *remote_message.mutable_load() = with_load.load();
    SetRequests(ZoneRequests(local), remote_message.mutable_load());
    for (const SocketAddress& target : remote)
      SendTo(target, remote_message);
  }
  // Seeds let nodes find each other that have no record of each other. They are
  // contacted only while no other node is known.
  if (!zone.empty() || !remote.empty())
    return;
  std::set<SocketAddress> seeds(state_->settings().seeds().begin(),
                                state_->settings().seeds().end());
  seeds.erase(state_->peers().self().peer_address);
  for (const SocketAddress& target : seeds)
    SendTo(target, without_load);
}

void PeerHeartbeat::SendLoadNotice(const std::vector<LoadUpdate>& counts) {
  wire::GatewayHeartbeat message = MakeMessage();
  SetLoadUpdates(counts, message.mutable_load());
  message.mutable_load()->set_is_notice(true);
  SetRequests(LocalRequests(), message.mutable_load());
  for (const SocketAddress& target : state_->peers().ZoneTargets(state_->Now()))
    SendTo(target, message);
}

// Each part is a heartbeat too, so that a node which does not know of relayed
// changes takes it for one.
void PeerHeartbeat::RelayChanges(RelayedList list, const ChangeBatch& batch) {
  const std::vector<SocketAddress> zone =
      state_->peers().ZoneTargets(state_->Now());
  wire::GatewayHeartbeat message = MakeMessage();
  SetListStatuses(&message);
  wire::ChangePart* changes = message.mutable_changes();
  changes->set_list(static_cast<uint32_t>(list));
  changes->set_from(batch.from);
  changes->set_to(batch.to);
  if (batch.epoch)
    changes->set_epoch(*batch.epoch);
  for (const ChangeBatchPart& part : SplitIntoParts(batch)) {
    changes->set_index(part.index);
    changes->set_count(part.count);
    changes->clear_changes();
    for (const StoreChange& change : part.batch.changes)
      EncodeChange(change, changes->add_changes());
    for (const SocketAddress& target : zone)
      SendTo(target, message);
  }
  LogLine line("changes-relayed");
  line.Add("list", static_cast<int>(list))
      .Add("from", batch.from)
      .Add("to", batch.to)
      .Add("changes", batch.changes.size())
      .Add("peers", zone.size());
  state_->log().Info(line);
}

void PeerHeartbeat::SendReport(const RolloutReport& report,
                               const std::vector<SocketAddress>& targets) {
  wire::GatewayHeartbeat message = MakeMessage();
  EncodeReport(report, message.add_rollout_reports());
  for (const SocketAddress& target : targets)
    SendTo(target, message);
}

void PeerHeartbeat::SendRateLimits(const std::vector<RateLimitUpdate>& updates,
                                   const std::vector<SocketAddress>& targets) {
  wire::GatewayHeartbeat message = MakeMessage();
  EncodeRateLimits(updates, message.mutable_rate_limits());
  for (const SocketAddress& target : targets)
    SendTo(target, message);
}

size_t PeerHeartbeat::SendStreams(const std::vector<StreamOrigin>& streams,
                                  const std::vector<SocketAddress>& targets) {
  wire::GatewayHeartbeat message = MakeMessage();
  size_t sent = 0;
  for (wire::StreamReport& report : EncodeStreams(streams)) {
    *message.mutable_stream_report() = std::move(report);
    for (const SocketAddress& target : targets)
      SendTo(target, message);
    sent += targets.size();
  }
  return sent;
}

void PeerHeartbeat::SetListStatuses(wire::GatewayHeartbeat* message) const {
  if (!list_status_source_)
    return;
  const auto set = [&](RelayedList list, auto add) {
    const std::optional<ListStatus> status = list_status_source_(list);
    if (status)
      EncodeListStatus(*status, (message->*add)());
  };
  set(RelayedList::kEndpoints, &wire::GatewayHeartbeat::mutable_endpoints);
  set(RelayedList::kEvacuations, &wire::GatewayHeartbeat::mutable_evacuations);
  set(RelayedList::kRollouts, &wire::GatewayHeartbeat::mutable_rollouts);
}

void PeerHeartbeat::OnChangePart(const wire::ChangePart& message) {
  if (message.list() >= kRelayedListCount) {
    state_->metrics().OnUnreadableEntry();
    return;
  }
  const auto list = static_cast<RelayedList>(message.list());
  std::optional<ChangeBatchPart> part = DecodeChangePart(list, message);
  if (!part)
    state_->metrics().OnUnreadableEntry();
  else if (on_change_part_)
    on_change_part_(list, std::move(*part));
}

ServiceRequests PeerHeartbeat::LocalRequests() const {
  ServiceRequests local;
  if (!state_->routes())
    return local;
  for (const ServiceSpec& service : state_->routes()->parts().services) {
    const uint32_t requests =
        service.engine ? state_->endpoints().LocalRequests(service.name) : 0;
    if (requests > 0)
      local[ShortHash(service.name)] = requests;
  }
  return local;
}

ServiceRequests PeerHeartbeat::ZoneRequests(
    const ServiceRequests& local) const {
  ServiceRequests all;
  if (!state_->routes())
    return all;
  for (const ServiceSpec& service : state_->routes()->parts().services) {
    if (!service.engine)
      continue;
    const uint32_t key = ShortHash(service.name);
    const auto found = local.find(key);
    const uint32_t requests = state_->peers().ZoneRequests(
        key, found == local.end() ? 0 : found->second, state_->Now());
    if (requests > 0)
      all[key] = requests;
  }
  return all;
}

wire::GatewayHeartbeat PeerHeartbeat::MakeMessage() const {
  const Timestamp now = GatewayState::BootNow();
  wire::GatewayHeartbeat message;
  message.set_serving(state_->peers().self().serving);
  if (state_->routes())
    message.set_configuration_version(state_->routes()->version());
  if (const auto age = state_->configuration_freshness().Age(now)) {
    message.set_proof_age_ms(ToMilliseconds(*age));
  }
  message.set_interval_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Interval())
          .count()));
  message.set_sent_at_us(ToMicroseconds(now));
  message.set_endpoints_revision(
      state_->endpoint_changes().RevisionToAnnounce(state_->Now()));
  message.set_evacuations_revision(
      state_->evacuation_changes().RevisionToAnnounce(state_->Now()));
  if (const StoreEpoch epoch = state_->endpoint_changes().epoch())
    message.set_endpoints_epoch(*epoch);
  if (const StoreEpoch epoch = state_->evacuation_changes().epoch())
    message.set_evacuations_epoch(*epoch);
  return message;
}

void PeerHeartbeat::SendTo(const SocketAddress& target,
                           wire::GatewayHeartbeat message) {
  const auto peer_sent_at = state_->peers().LastSentAt(target);
  if (peer_sent_at)
    message.set_echoed_us(ToMicroseconds(*peer_sent_at));
  if (!peer_sent_at || heartbeat_rounds_ % kHeartbeatsBetweenIdentities <
                           PeerSet::kHeartbeatsPerRemoteHeartbeat) {
    const Peer& self = state_->peers().self();
    message.mutable_identity()->set_name(self.name);
    message.mutable_identity()->set_zone(self.zone);
    message.mutable_identity()->set_front_address(
        self.front_address.ToString());
  }
  const std::string bytes = message.SerializeAsString();
  state_->metrics().OnHeartbeatSent(bytes.size());
  // A datagram that cannot be sent is treated like one lost on the network.
  boost::system::error_code ignored;
  socket_.send_to(asio::buffer(bytes), ToEndpoint(target), 0, ignored);
}

asio::awaitable<void> PeerHeartbeat::ReceiveLoop() {
  for (;;) {
    asio::ip::udp::endpoint sender;
    auto [failure, count] = co_await socket_.async_receive_from(
        asio::buffer(received_), sender, kAsTuple);
    if (failure == asio::error::operation_aborted)
      co_return;
    if (failure)
      continue;
    const SocketAddress from{sender.address().to_string(), sender.port()};
    OnDatagram(from, {received_.data(), count});
  }
}

void PeerHeartbeat::OnDatagram(const SocketAddress& from,
                               std::string_view bytes) {
  wire::GatewayHeartbeat message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    state_->metrics().OnUnreadableEntry();
    return;
  }
  if (message.has_identity()) {
    const wire::GatewayIdentity& identity = message.identity();
    const auto front_address = SocketAddress::Parse(identity.front_address());
    if (!front_address || identity.name().empty()) {
      state_->metrics().OnUnreadableEntry();
      return;
    }
    state_->peers().OnIdentity({identity.name(), identity.zone(), from,
                                *front_address, message.serving()},
                               state_->Now());
  }
  PeerStatus status;
  status.serving = message.serving();
  status.configuration_version = message.configuration_version();
  status.endpoints_revision = message.endpoints_revision();
  status.evacuations_revision = message.evacuations_revision();
  if (message.has_endpoints_epoch())
    status.endpoints_epoch = message.endpoints_epoch();
  if (message.has_evacuations_epoch())
    status.evacuations_epoch = message.evacuations_epoch();
  if (message.has_proof_age_ms())
    status.configuration_age =
        std::chrono::milliseconds(message.proof_age_ms());
  status.interval = std::chrono::milliseconds(message.interval_ms());
  status.sent_at = ToTimestamp(message.sent_at_us());
  if (message.echoed_us() != 0)
    status.echoed_at = ToTimestamp(message.echoed_us());
  if (message.has_load())
    status.requests = OnLoadReport(message.load());
  if (message.has_endpoints())
    status.lists[0] = DecodeListStatus(message.endpoints());
  if (message.has_evacuations())
    status.lists[1] = DecodeListStatus(message.evacuations());
  if (message.has_rollouts())
    status.lists[2] = DecodeListStatus(message.rollouts());
  if (!state_->peers().OnHeartbeat(from, status, state_->Now()))
    return;
  if (on_peer_status_)
    on_peer_status_(status);
  if (message.has_changes())
    OnChangePart(message.changes());
  OnSuspects(message, state_->peers().IsZonePeer(from));
  if (message.has_rate_limits())
    OnRateLimits(message.rate_limits());
  if (message.has_stream_report())
    OnStreamReport(message.stream_report());
  if (on_new_peer_ && !status.echoed_at && state_->peers().IsZonePeer(from))
    on_new_peer_(from);
  if (on_rollout_reports_ && message.rollout_reports_size() > 0) {
    on_rollout_reports_(DecodeReports(message),
                        state_->peers().IsZonePeer(from));
  }
  const bool is_from_leader =
      message.has_endpoints() || message.has_evacuations();
  // Reports with counters come in addition to the usual heartbeats.
  const bool has_counters = std::any_of(message.rollout_reports().begin(),
                                        message.rollout_reports().end(),
                                        [](const wire::RolloutReport& report) {
                                          return !report.sender().empty();
                                        });
  if (!is_from_leader && !has_counters && !message.has_rate_limits() &&
      !message.has_stream_report() && state_->peers().IsZonePeer(from))
    ReplyAsLeader(from);
}

// How old the configuration is counts from the latest heartbeat that the leader
// has received, so an immediate reply makes it as young as possible. Replies
// are not replied to: they say that their sender is a leader.
void PeerHeartbeat::ReplyAsLeader(const SocketAddress& follower) {
  if (!state_->peers().IsZoneLeader(state_->Now()))
    return;
  wire::GatewayHeartbeat message = MakeMessage();
  SetListStatuses(&message);
  if (message.has_endpoints() || message.has_evacuations())
    SendTo(follower, std::move(message));
}

void PeerHeartbeat::OnRateLimits(const wire::RateLimitReport& report) {
  const auto updates = DecodeRateLimits(report);
  if (!updates)
    state_->metrics().OnUnreadableEntry();
  else if (on_rate_limits_)
    on_rate_limits_(*updates);
}

void PeerHeartbeat::OnStreamReport(const wire::StreamReport& report) {
  const auto streams = DecodeStreams(report);
  if (!streams)
    state_->metrics().OnUnreadableEntry();
  else if (on_streams_)
    on_streams_(*streams);
}

void PeerHeartbeat::SetSuspects(wire::GatewayHeartbeat* message) const {
  for (const CrashEvidence& evidence :
       state_->crash_suspects().ToShare(kMaxSuspectBytes, state_->Now()))
    EncodeEvidence(evidence, message->add_suspects());
}

void PeerHeartbeat::OnSuspects(const wire::GatewayHeartbeat& message,
                               bool is_zone_peer) {
  CrashSuspects& suspects = state_->crash_suspects();
  for (const wire::PartEvidence& field : message.suspects()) {
    const bool is_new = suspects.Merge(DecodeEvidence(field), state_->Now());
    passes_on_suspects_ = passes_on_suspects_ || (is_new && !is_zone_peer);
  }
}

void PeerHeartbeat::SetRequests(const ServiceRequests& requests,
                                wire::LoadReport* report) {
  report->clear_services();
  for (const auto& [service, count] : requests) {
    wire::ServiceLoad* load = report->add_services();
    load->set_service(service);
    load->set_requests(count);
  }
}

void PeerHeartbeat::SetLoadUpdates(const std::vector<LoadUpdate>& updates,
                                   wire::LoadReport* report) {
  bool any_speed = false;
  for (const LoadUpdate& item : updates) {
    report->add_endpoints(item.endpoint);
    report->add_requests(item.requests);
    report->add_ages(static_cast<uint32_t>(item.age / kAgeUnit));
    any_speed = any_speed || item.percent;
  }
  if (!any_speed)
    return;
  for (const LoadUpdate& item : updates)
    report->add_percents(item.percent.value_or(0));
}

ServiceRequests PeerHeartbeat::OnLoadReport(const wire::LoadReport& report) {
  ServiceRequests requests;
  for (const wire::ServiceLoad& load : report.services())
    requests[load.service()] = load.requests();
  const bool has_speeds = report.percents_size() > 0;
  if (report.requests_size() != report.endpoints_size() ||
      report.ages_size() != report.endpoints_size() ||
      (has_speeds && report.percents_size() != report.endpoints_size())) {
    state_->metrics().OnUnreadableEntry();
    return requests;
  }
  for (int i = 0; i < report.endpoints_size(); ++i) {
    LoadUpdate update{report.endpoints(i), report.requests(i),
                      report.ages(i) * kAgeUnit};
    if (has_speeds && report.percents(i) > 0)
      update.percent = report.percents(i);
    state_->endpoints().OnLoadUpdate(update, state_->Now());
    if (report.is_notice())
      state_->full_engine_notices().OnShared(update, state_->Now());
  }
  return requests;
}

}  // namespace teaselthread
