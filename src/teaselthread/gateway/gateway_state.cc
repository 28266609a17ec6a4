#include "teaselthread/gateway/gateway_state.h"

#include <sys/resource.h>

#include <algorithm>
#include <ctime>

#include "libteaselthread/endpoints/removal_grace_period.h"
#include "libteaselthread/rendezvous_hash.h"
#include "teaselthread/http_client.h"

namespace teaselthread {
namespace {

// Covers clock drift between machines. Network latency needs no margin, because
// a caller sends its request before it is checked here.
constexpr Duration kRevocationMargin = std::chrono::milliseconds(50);

// Callers may wait longer in all than a route's timeout allows one request.
constexpr int kTimeoutMultiple = 2;
constexpr Duration kMinStreamLifetime = std::chrono::seconds(20);

Peer MakeSelf(const GatewaySettings& settings) {
  return {settings.name(), settings.zone(), settings.peer_listen(),
          settings.front_listen(), false};
}

// Descriptors that the process may have open.
size_t DescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

size_t ConnectionLimit(const UntrustedCallerLimits& limits) {
  return limits.max_connections > 0
             ? limits.max_connections
             : CallerConnections::LimitFor(DescriptorLimit());
}

}  // namespace

GatewayState::GatewayState(asio::io_context* io,
                           GatewaySettings settings,
                           const WireCodec* codec)
    : io_(io),
      settings_(std::move(settings)),
      codec_(codec),
      random_(std::random_device()()),
      configuration_freshness_(settings_.limits().revocation_bound -
                               kRevocationMargin),
      store_restoration_(RemovalGracePeriod::AfterRestoration(
          settings_.limits().contact_bound)),
      selector_(&endpoints_),
      rollouts_(settings_.rollouts(),
                settings_.name(),
                static_cast<uint32_t>(random_()),
                &endpoints_),
      peers_(MakeSelf(settings_), settings_.heartbeat_timeout()),
      buffers_(BufferQuota::LimitFor(settings_.memory_bytes()),
               [this] { return Now(); }),
      caller_connections_(ConnectionLimit(settings_.callers())),
      admin_connections_(CallerConnections::AdminLimitFor(DescriptorLimit())),
      log_(settings_.log_level()) {}

Timestamp GatewayState::Now() const {
  return Timestamp(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

Timestamp GatewayState::BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Timestamp(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

uint64_t GatewayState::UnixMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

std::chrono::steady_clock::time_point GatewayState::ToSteady(Timestamp time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

bool GatewayState::UpdateRoutes(RouteTable table) {
  if (routes_ && table.version() <= routes_->version())
    return false;
  routes_ = std::make_shared<const RouteTable>(std::move(table));
  endpoints_.SetServices(*routes_);
  return true;
}

void GatewayState::OnStoreEpoch(StoreEpoch epoch) {
  const bool is_restored = store_restoration_.OnEpoch(epoch, Now());
  if (is_restored && on_store_restored_)
    on_store_restored_();
}

RetryAllowance& GatewayState::RetryAllowanceFor(const std::string& service) {
  return retries_.try_emplace(service, settings_.limits().retries)
      .first->second;
}

bool GatewayState::TryTakeRetry(const std::string& service) {
  return RetryAllowanceFor(service).TryTake(
      peers_.NodesSharingLimits(Now()).size(), Now());
}

HedgePolicy& GatewayState::HedgePolicyFor(const std::string& service) {
  HedgePolicy& policy =
      hedge_policies_.try_emplace(service, settings_.limits().retries.window)
          .first->second;
  policy.set_share(settings_.hedging_share());
  return policy;
}

SelectionContext GatewayState::MakeSelectionContext(
    const std::string& service) const {
  const Timestamp now = Now();
  SelectionContext context;
  context.zone = settings_.zone();
  context.node = settings_.name();
  context.nodes = peers_.NodesSharingLimits(now);
  context.cold_over = settings_.limits().cold_over;
  context.cold_slack = settings_.limits().cold_slack;
  context.load_multiple = settings_.limits().load_multiple;
  context.service_requests = FleetRequests(service);
  return context;
}

Duration GatewayState::StreamLifetime(const std::string& service) const {
  return LongestLifetime([&](const Route& route) {
    return std::any_of(route.services.begin(), route.services.end(),
                       [&](const WeightedService& target) {
                         return target.service == service;
                       });
  });
}

Duration GatewayState::LongestStreamLifetime() const {
  return LongestLifetime([](const Route&) { return true; });
}

Duration GatewayState::LongestLifetime(
    const std::function<bool(const Route&)>& is_included) const {
  Duration longest = kMinStreamLifetime;
  if (!routes_)
    return longest;
  for (const Route& route : routes_->parts().routes) {
    if (route.kind == RequestKind::kStreaming && is_included(route))
      longest = std::max(longest, kTimeoutMultiple * route.timeout);
  }
  return longest;
}

void GatewayState::UpdateVersionHistory() {
  endpoints_.ForEachRunning(
      [this](const EndpointRecord& record) { NoteVersionOf(record); });
}

void GatewayState::NoteVersionOf(const EndpointRecord& endpoint) {
  version_history_.OnRegistered(ShortHash(endpoint.service), endpoint.version,
                                Now());
}

asio::awaitable<bool> GatewayState::ReadStreamRecords(Duration max_age) {
  if (!stream_record_source_)
    co_return false;
  co_return co_await stream_record_source_(max_age);
}

asio::awaitable<bool> GatewayState::ConfirmEndpoints(Duration max_age) {
  if (!endpoint_confirmation_)
    co_return false;
  co_return co_await endpoint_confirmation_(max_age);
}

uint32_t GatewayState::FleetRequests(const std::string& service) const {
  return peers_.FleetRequests(ShortHash(service),
                              endpoints_.LocalRequests(service), Now());
}

RolloutFleet GatewayState::MakeRolloutFleet() const {
  const Timestamp now = Now();
  return {settings_.zone(), peers_.LiveZoneNodes(now),
          peers_.LiveOtherZones(now), peers_.NodesSharingLimits(now).size(),
          peers_.IsZoneLeader(now)};
}

void GatewayState::BeginLeaving(Timestamp now) {
  leaving_schedule_ =
      LeavingSchedule::Begin(now, settings_.limits().leaving_grace);
  peers_.SetServing(false);
}

bool GatewayState::KeepsIdleConnections() const {
  return !leaving_schedule_ || leaving_schedule_->AcceptsConnections(Now());
}

bool GatewayState::IsReady() const {
  // Before the orders are known, old endpoints of a completed rollout or those
  // of a reverted version could get requests.
  const bool versions_known = !rollouts_.enabled() || rollouts_known_;
  return routes_ && endpoints_known_ && versions_known && !leaving() &&
         (!routes_->needs_keys() ||
          configuration_freshness_.IsFresh(BootNow()));
}

void GatewayState::Reload(GatewaySettings settings) {
  log_.SetLevel(settings.log_level());
  settings_ = std::move(settings);
}

void GatewayState::OnClosedForRoom(CallerConnections::State state,
                                   const CallerConnections& connections) {
  const ClosingReason reason = CallerConnections::ReasonFor(state);
  metrics_.OnCallerClosed(reason);
  LogLine line("caller-closed");
  line.Add("reason", ToString(reason))
      .Add("connections", connections.size())
      .Add("limit", connections.limit());
  LogUntrustedCaller(line);
}

void GatewayState::OnRateLimitChange(const EndpointRecord& endpoint,
                                     RateLimitChange change,
                                     const std::string& request_id) {
  metrics_.OnRateLimitChange(change);
  LogLine line("rate-limit-changed");
  line.Add("endpoint", endpoint.id).Add("change", ToString(change));
  if (request_id.empty())
    line.Add("source", "gateway");
  else
    line.Add("source", "endpoint").Add("id", request_id);
  if (const auto status = endpoints_.rate_limits().StatusOf(endpoint, Now())) {
    line.Add("rate", status->rate)
        .AddTime("age", status->age)
        .Add("share", status->share.requests)
        .Add("nodes", status->share.nodes);
  }
  log_.Info(line);
}

void GatewayState::LogUntrustedCaller(LogLine& line) {
  const auto suppressed = caller_lines_.Take(Now());
  if (!suppressed)
    return;
  if (*suppressed > 0)
    line.Add("suppressed", *suppressed);
  log_.Info(line);
}

void GatewayState::OnStoreCall(StoreKind kind,
                               std::string_view target,
                               int status,
                               Timestamp called_at) {
  metrics_.OnStoreCall(IsSuccess(status));
  if (!log_.WritesDebug())
    return;
  LogLine line("store-called");
  line.Add("kind", ToString(kind))
      .Add("target", target)
      .Add("status", status)
      .AddTime("elapsed", Now() - called_at);
  log_.Debug(line);
}

std::string GatewayState::RenderMetrics() const {
  GatewayGauges gauges;
  gauges.configuration_version = routes_ ? routes_->version() : 0;
  const auto age = configuration_freshness_.Age(BootNow());
  if (age) {
    gauges.configuration_age_seconds =
        std::chrono::duration<double>(*age).count();
  }
  gauges.endpoints = endpoints_.size();
  gauges.peers_alive = peers_.alive_count(Now());
  gauges.blocked_parts = crash_suspects_.blocked_count(Now());
  gauges.requests_in_progress = requests_in_progress;
  gauges.connections = connections;
  gauges.connection_limit = caller_connections_.limit();
  gauges.buffered_bytes = buffers_.used();
  gauges.buffer_limit_bytes = buffers_.limit();
  gauges.log_lines_dropped = log_.dropped();
  gauges.rate_limits = endpoints_.rate_limits().size();
  gauges.streams_known = stream_origins_.size();
  gauges.ready = IsReady();
  gauges.rollouts_enabled = rollouts_.enabled();
  for (const auto& [name, rollout] : rollouts_.rollouts())
    gauges.rollouts.push_back(&rollout);
  return metrics_.Render(gauges);
}

}  // namespace teaselthread
