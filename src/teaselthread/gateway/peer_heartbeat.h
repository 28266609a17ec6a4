#ifndef TEASELTHREAD_GATEWAY_PEER_HEARTBEAT_H_
#define TEASELTHREAD_GATEWAY_PEER_HEARTBEAT_H_

#include <array>
#include <functional>
#include <memory>

#include "libteaselthread/rate_limits/rate_limit_update.h"
#include "teaselthread/gateway/gateway_state.h"

namespace teaselthread {

namespace wire {
class ChangePart;
class GatewayHeartbeat;
class LoadReport;
class RateLimitReport;
class StreamReport;
}  // namespace wire

// Sends this node's state to its peers as UDP datagrams and receives theirs.
class PeerHeartbeat {
 public:
  // Fails with kUnavailable if the peer address cannot be bound.
  static Result<std::unique_ptr<PeerHeartbeat>> Start(GatewayState* state);

  // Called for each heartbeat that the peer set accepts.
  using PeerStatusCallback = std::function<void(const PeerStatus&)>;
  void set_on_peer_status(PeerStatusCallback on_peer_status) {
    on_peer_status_ = std::move(on_peer_status);
  }

  // Called for each part of a batch that a zone leader relays.
  using ChangePartCallback = std::function<void(RelayedList, ChangeBatchPart)>;
  void set_on_change_part(ChangePartCallback on_change_part) {
    on_change_part_ = std::move(on_change_part);
  }
  // Sets the source of what this node states about a list as the zone leader.
  using ListStatusSource =
      std::function<std::optional<ListStatus>(RelayedList)>;
  void set_list_status_source(ListStatusSource list_status_source) {
    list_status_source_ = std::move(list_status_source);
  }

  // Called with the reports on rollouts of each heartbeat that has any.
  using ReportsCallback =
      std::function<void(const std::vector<RolloutReport>&, bool is_zone_peer)>;
  void set_on_rollout_reports(ReportsCallback on_rollout_reports) {
    on_rollout_reports_ = std::move(on_rollout_reports);
  }

  // Called with the rate limits of endpoints of each heartbeat that has any.
  using RateLimitsCallback =
      std::function<void(const std::vector<RateLimitUpdate>&)>;
  void set_on_rate_limits(RateLimitsCallback on_rate_limits) {
    on_rate_limits_ = std::move(on_rate_limits);
  }
  // Called with the address of a node of this zone that has not received any
  // heartbeat from this one since it started.
  using NewPeerCallback = std::function<void(const SocketAddress&)>;
  void set_on_new_peer(NewPeerCallback on_new_peer) {
    on_new_peer_ = std::move(on_new_peer);
  }
  // Called with the streams that a report of another node names.
  using StreamsCallback = std::function<void(const std::vector<StreamOrigin>&)>;
  void set_on_streams(StreamsCallback on_streams) {
    on_streams_ = std::move(on_streams);
  }
  // Sends heartbeats with streams of one service. Returns their number.
  size_t SendStreams(const std::vector<StreamOrigin>& streams,
                     const std::vector<SocketAddress>& targets);
  // Sends a heartbeat with rate limits of endpoints.
  void SendRateLimits(const std::vector<RateLimitUpdate>& updates,
                      const std::vector<SocketAddress>& targets);

  // Sends a heartbeat with a report on a rollout.
  void SendReport(const RolloutReport& report,
                  const std::vector<SocketAddress>& targets);
  // Sends a heartbeat immediately, also to other zones.
  void SendNow();
  // Sends these counts of endpoints to all nodes of this zone.
  void SendLoadNotice(const std::vector<LoadUpdate>& counts);
  // Sends a batch of changes to all nodes of this zone.
  void RelayChanges(RelayedList list, const ChangeBatch& batch);

 private:
  PeerHeartbeat(GatewayState* state, asio::ip::udp::socket socket);
  asio::awaitable<void> ReceiveLoop();
  void OnDatagram(const SocketAddress& from, std::string_view bytes);
  void SendIfDue(Timestamp now);
  Duration Interval() const;
  void Send(bool include_remote_zones);
  // Adds the fields specific to the recipient and sends the message.
  void SendTo(const SocketAddress& target, wire::GatewayHeartbeat message);
  // Creates a message with the fields common to all recipients.
  wire::GatewayHeartbeat MakeMessage() const;
  // Adds what this node states about the lists that it watches.
  void SetListStatuses(wire::GatewayHeartbeat* message) const;
  void OnChangePart(const wire::ChangePart& part);
  void ReplyAsLeader(const SocketAddress& follower);
  void OnRateLimits(const wire::RateLimitReport& report);
  void OnStreamReport(const wire::StreamReport& report);
  // Adds what this node knows of prompt parts that crash engines.
  void SetSuspects(wire::GatewayHeartbeat* message) const;
  void OnSuspects(const wire::GatewayHeartbeat& message, bool is_zone_peer);
  static void SetRequests(const ServiceRequests& requests,
                          wire::LoadReport* report);
  static void SetLoadUpdates(const std::vector<LoadUpdate>& updates,
                             wire::LoadReport* report);
  // Applies the load updates of endpoints. Returns the requests by service.
  ServiceRequests OnLoadReport(const wire::LoadReport& report);
  // Requests in progress, by service with engines: this node's, and those of
  // its whole zone.
  ServiceRequests LocalRequests() const;
  ServiceRequests ZoneRequests(const ServiceRequests& local) const;

  GatewayState* state_;
  asio::ip::udp::socket socket_;
  std::array<char, 1500> received_{};
  PeerStatusCallback on_peer_status_;
  ChangePartCallback on_change_part_;
  ListStatusSource list_status_source_;
  ReportsCallback on_rollout_reports_;
  RateLimitsCallback on_rate_limits_;
  NewPeerCallback on_new_peer_;
  StreamsCallback on_streams_;
  uint32_t heartbeat_rounds_ = 0;
  Timestamp last_sent_at_{};
  // Evidence from another zone is to be passed on in this one.
  bool passes_on_suspects_ = false;
  double interval_factor_ = 1;  // of the time until the next heartbeat
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_PEER_HEARTBEAT_H_
