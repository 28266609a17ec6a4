#ifndef TEASELTHREAD_GATEWAY_GATEWAY_STATE_H_
#define TEASELTHREAD_GATEWAY_GATEWAY_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "libteaselthread/attempts/hedge_policy.h"
#include "libteaselthread/attempts/overdue_attempts.h"
#include "libteaselthread/attempts/retry_allowance.h"
#include "libteaselthread/callers/caller_connections.h"
#include "libteaselthread/callers/log_line_limit.h"
#include "libteaselthread/endpoints/crash_suspects.h"
#include "libteaselthread/endpoints/endpoint_selector.h"
#include "libteaselthread/endpoints/endpoint_table.h"
#include "libteaselthread/endpoints/full_engine_notices.h"
#include "libteaselthread/endpoints/prompt_part_demand.h"
#include "libteaselthread/endpoints/waiting_requests.h"
#include "libteaselthread/peers/peer_set.h"
#include "libteaselthread/peers/revision_announcement.h"
#include "libteaselthread/peers/store_restoration.h"
#include "libteaselthread/rate_limits/return_schedule.h"
#include "libteaselthread/requests/leaving_schedule.h"
#include "libteaselthread/rollouts/rollout_table.h"
#include "libteaselthread/routes/configuration_freshness.h"
#include "libteaselthread/routes/route_table.h"
#include "libteaselthread/streams/stream_origins.h"
#include "libteaselthread/streams/version_history.h"
#include "libteaselthread/timer_service.h"
#include "teaselthread/asio.h"
#include "teaselthread/gateway/buffer_quota.h"
#include "teaselthread/gateway/decision_log.h"
#include "teaselthread/gateway/gateway_metrics.h"
#include "teaselthread/gateway/gateway_settings.h"
#include "teaselthread/gateway/wire_codec.h"

namespace teaselthread {

using RouteTablePtr = std::shared_ptr<const RouteTable>;

// The state of one gateway process. Not thread-safe: used only from the thread
// that runs the io_context.
class GatewayState {
 public:
  GatewayState(asio::io_context* io,
               GatewaySettings settings,
               const WireCodec* codec);
  GatewayState(const GatewayState&) = delete;
  GatewayState& operator=(const GatewayState&) = delete;

  asio::io_context& io() { return *io_; }
  const GatewaySettings& settings() const { return settings_; }
  const WireCodec& codec() const { return *codec_; }

  Timestamp Now() const;
  // CLOCK_BOOTTIME, which also advances while the machine is suspended.
  static Timestamp BootNow();
  // The time of day of this machine, which may differ from that of others.
  static uint64_t UnixMilliseconds();
  static std::chrono::steady_clock::time_point ToSteady(Timestamp time);

  // Null until the first configuration is known. Versions never decrease.
  const RouteTablePtr& routes() const { return routes_; }
  // Replaces the table if `table` is newer. Returns whether it did.
  bool UpdateRoutes(RouteTable table);

  ConfigurationFreshness& configuration_freshness() {
    return configuration_freshness_;
  }
  StoreRestoration& store_restoration() { return store_restoration_; }
  // A response of the store names `epoch`.
  void OnStoreEpoch(StoreEpoch epoch);
  // Sets the function that is called when the store is found to be restored
  // from an older copy.
  void set_on_store_restored(std::function<void()> on_store_restored) {
    on_store_restored_ = std::move(on_store_restored);
  }
  EndpointTable& endpoints() { return endpoints_; }
  const EndpointSelector& selector() const { return selector_; }
  PeerSet& peers() { return peers_; }
  RetryAllowance& RetryAllowanceFor(const std::string& service);
  // Takes one retry from the service's allowance; returns false if none is
  // left.
  bool TryTakeRetry(const std::string& service);
  // The policy has the share of hedges that the settings allow now.
  HedgePolicy& HedgePolicyFor(const std::string& service);
  OverdueAttempts& overdue_attempts() { return overdue_attempts_; }
  SelectionContext MakeSelectionContext(const std::string& service) const;
  // The requests in progress for a service, from all nodes.
  uint32_t FleetRequests(const std::string& service) const;
  // The newest changes that this gateway's own watches have delivered.
  RevisionAnnouncement& endpoint_changes() { return endpoint_changes_; }
  RevisionAnnouncement& evacuation_changes() { return evacuation_changes_; }
  PromptPartDemand& demand() { return demand_; }
  FullEngineNotices& full_engine_notices() { return full_engine_notices_; }
  CrashSuspects& crash_suspects() { return crash_suspects_; }
  RolloutTable& rollouts() { return rollouts_; }
  StreamOrigins& stream_origins() { return stream_origins_; }
  VersionHistory& version_history() { return version_history_; }
  // How long a stream of the service may last, with all attempts of its caller.
  Duration StreamLifetime(const std::string& service) const;
  // The same for all services: how long origins of streams are kept.
  Duration LongestStreamLifetime() const;
  // Takes note of the versions that are registered now.
  void UpdateVersionHistory();
  // The same for one endpoint, which need not stay registered.
  void NoteVersionOf(const EndpointRecord& endpoint);
  // Reads what other gateways have recorded of streams, unless that was read
  // less than `max_age` ago. Returns false if it cannot be read.
  using StreamRecordSource =
      std::function<asio::awaitable<bool>(Duration max_age)>;
  void set_stream_record_source(StreamRecordSource source) {
    stream_record_source_ = std::move(source);
  }
  asio::awaitable<bool> ReadStreamRecords(Duration max_age);
  // Makes sure that the endpoints are known as the store had them at most
  // `max_age` ago. Returns false if the store does not confirm it.
  using EndpointConfirmation =
      std::function<asio::awaitable<bool>(Duration max_age)>;
  void set_endpoint_confirmation(EndpointConfirmation confirmation) {
    endpoint_confirmation_ = std::move(confirmation);
  }
  asio::awaitable<bool> ConfirmEndpoints(Duration max_age);
  // The live gateways whose evidence on rollouts is needed.
  RolloutFleet MakeRolloutFleet() const;
  WaitingRequests& WaitingFor(const std::string& service) {
    return waiting_[service];
  }
  ReturnSchedule& ReturnScheduleFor(const std::string& service) {
    return return_schedules_[service];
  }
  GatewayMetrics& metrics() { return metrics_; }
  BufferQuota& buffers() { return buffers_; }
  CallerConnections& caller_connections() { return caller_connections_; }
  // Connections to the addresses of the readiness check, the directory and the
  // metrics.
  CallerConnections& admin_connections() { return admin_connections_; }
  // Counts and logs that a connection in `state` was closed for a new one.
  void OnClosedForRoom(CallerConnections::State state,
                       const CallerConnections& connections);
  // Counts and logs what is new about an endpoint's rate limit. `request_id`:
  // of the response that named it; empty if another gateway has told of it.
  void OnRateLimitChange(const EndpointRecord& endpoint,
                         RateLimitChange change,
                         const std::string& request_id);
  // Writes a line about a caller that was refused or closed, unless there are
  // too many of them.
  void LogUntrustedCaller(LogLine& line);
  DecisionLog& log() { return log_; }
  TimerService& timers() { return timers_; }
  std::mt19937_64& random() { return random_; }

  bool leaving() const { return leaving_schedule_.has_value(); }
  // Empty until BeginLeaving.
  const std::optional<LeavingSchedule>& leaving_schedule() const {
    return leaving_schedule_;
  }
  // The process was told at `now` to leave. Fixes the times of the shutdown.
  void BeginLeaving(Timestamp now);
  // Whether a caller's connection stays open while no request is in progress on
  // it.
  bool KeepsIdleConnections() const;
  // Whether callers' requests can be served: the configuration, endpoints and
  // rollouts, if they are on, are known, the configuration is fresh if it has
  // keys, and the node is not leaving.
  bool IsReady() const;
  void set_endpoints_known() { endpoints_known_ = true; }
  void set_rollouts_known() { rollouts_known_ = true; }
  // Replaces the settings and applies the log level. Values that were used at
  // startup, such as listen addresses, stay in effect until a restart.
  void Reload(GatewaySettings settings);
  // Counts and logs a call to the store that was made at `called_at`. `status`
  // is 0 if there was no response.
  void OnStoreCall(StoreKind kind,
                   std::string_view target,
                   int status,
                   Timestamp called_at);
  std::string RenderMetrics() const;

  uint64_t requests_in_progress = 0;
  uint64_t connections = 0;

 private:
  // Of the streams of those routes.
  Duration LongestLifetime(
      const std::function<bool(const Route&)>& is_included) const;

  asio::io_context* io_;
  GatewaySettings settings_;
  const WireCodec* codec_;
  std::mt19937_64 random_;
  RouteTablePtr routes_;
  ConfigurationFreshness configuration_freshness_;
  StoreRestoration store_restoration_;
  std::function<void()> on_store_restored_;
  EndpointTable endpoints_;
  EndpointSelector selector_;
  PromptPartDemand demand_;
  FullEngineNotices full_engine_notices_;
  CrashSuspects crash_suspects_;
  RolloutTable rollouts_;
  StreamOrigins stream_origins_;
  VersionHistory version_history_;
  StreamRecordSource stream_record_source_;
  EndpointConfirmation endpoint_confirmation_;
  std::map<std::string, WaitingRequests> waiting_;          // by service
  std::map<std::string, ReturnSchedule> return_schedules_;  // by service
  PeerSet peers_;
  std::map<std::string, RetryAllowance> retries_;
  std::map<std::string, HedgePolicy> hedge_policies_;  // by service
  OverdueAttempts overdue_attempts_;
  GatewayMetrics metrics_;
  BufferQuota buffers_;
  CallerConnections caller_connections_;
  CallerConnections admin_connections_;
  LogLineLimit caller_lines_;
  DecisionLog log_;
  TimerService timers_;
  std::optional<LeavingSchedule> leaving_schedule_;
  bool endpoints_known_ = false;
  bool rollouts_known_ = false;
  RevisionAnnouncement endpoint_changes_;
  RevisionAnnouncement evacuation_changes_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_GATEWAY_STATE_H_
