#include "teaselthread/gateway/gateway.h"

#include <malloc.h>

#include <csignal>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr Duration kDrainPoll = milliseconds(50);
constexpr Duration kSweepInterval = milliseconds(1'000);
constexpr Duration kNoticeInterval = milliseconds(100);
// Larger blocks, such as bodies, are returned to the system when they are
// freed. By default glibc raises this threshold to the size of a freed block,
// and the fragmented heap then keeps the memory.
constexpr int kMmapThresholdBytes = 128 * 1024;

}  // namespace

Result<int> Gateway::Run(GatewaySettings settings,
                         const WireCodec* codec,
                         const std::string& settings_file) {
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  asio::io_context io(1);
  Gateway gateway(&io, std::move(settings), codec);
  Result<bool> started = gateway.Start();
  if (!started)
    return started.last_reason();
  asio::co_spawn(io, gateway.DriveTimers(), asio::detached);
  asio::co_spawn(io, gateway.ReloadOnSignal(settings_file), asio::detached);
  asio::co_spawn(io, gateway.LeaveOnSignal(), asio::detached);
  io.run();
  return 0;
}

Gateway::Gateway(asio::io_context* io,
                 GatewaySettings settings,
                 const WireCodec* codec)
    : io_(io),
      state_(io, std::move(settings), codec),
      front_(&state_),
      admin_(&state_),
      store_(&state_),
      registrar_(&state_),
      fleet_records_(&state_),
      rollout_writer_(&state_),
      stream_record_reader_(&state_),
      stream_recorder_(&state_, &stream_record_reader_) {}

Result<bool> Gateway::Start() {
  for (Result<bool> started : {front_.Start(), admin_.Start()}) {
    if (!started)
      return started;
  }
  Result<std::unique_ptr<PeerHeartbeat>> heartbeat =
      PeerHeartbeat::Start(&state_);
  if (!heartbeat)
    return heartbeat.last_reason();
  heartbeat_ = heartbeat.TakeValue();
  heartbeat_->set_on_peer_status(
      [this](const PeerStatus& status) { store_.OnPeerStatus(status); });
  heartbeat_->set_on_change_part(
      [this](RelayedList list, ChangeBatchPart part) {
        store_.OnRelayedPart(list, std::move(part));
      });
  heartbeat_->set_list_status_source(
      [this](RelayedList list) { return store_.StatusToShare(list); });
  store_.set_on_batch([this](RelayedList list, const ChangeBatch& batch) {
    heartbeat_->RelayChanges(list, batch);
  });
  store_.set_on_store_recovered([this] { heartbeat_->SendNow(); });
  store_.Start();
  registrar_.Start();
  fleet_records_.Start();
  rollouts_ = std::make_unique<RolloutController>(&state_, heartbeat_.get());
  rollouts_->Start();
  rate_limits_ =
      std::make_unique<RateLimitController>(&state_, heartbeat_.get());
  rate_limits_->Start();
  rollout_writer_.Start();
  stream_reporter_ =
      std::make_unique<StreamReporter>(&state_, heartbeat_.get());
  stream_reporter_->Start();
  stream_recorder_.Start();
  state_.set_stream_record_source(
      [this](Duration max_age) { return stream_record_reader_.Read(max_age); });
  state_.set_endpoint_confirmation(
      [this](Duration max_age) { return store_.ConfirmEndpoints(max_age); });
  state_.timers().Subscribe(kSweepInterval, state_.Now(),
                            [this](Timestamp) { front_.handler().Sweep(); });
  state_.timers().Subscribe(
      kNoticeInterval, state_.Now(),
      [this](Timestamp now) { SendFullEngineNotices(now); });
  LogLine line("started");
  line.Add("node", state_.settings().name())
      .Add("zone", state_.settings().zone())
      .Add("front", state_.settings().front_listen().ToString());
  state_.log().Info(line);
  return true;
}

void Gateway::SendFullEngineNotices(Timestamp now) {
  if (!state_.routes())
    return;
  for (const ServiceSpec& service : state_.routes()->parts().services) {
    if (!service.engine)
      continue;
    const auto load_bound = state_.selector().ReducedLoadBound(
        service.name, state_.FleetRequests(service.name), now);
    if (!load_bound)
      continue;
    const std::vector<LoadUpdate> due = state_.full_engine_notices().TakeDue(
        state_.endpoints().Available(service.name, now), *load_bound, now);
    if (due.empty())
      continue;
    heartbeat_->SendLoadNotice(due);
    LogLine line("full-engines-announced");
    line.Add("service", service.name)
        .Add("engines", due.size())
        .AddRounded("load_bound", *load_bound);
    state_.log().Info(line);
  }
}

asio::awaitable<void> Gateway::DriveTimers() {
  asio::steady_timer timer(*io_);
  for (;;) {
    const std::optional<Timestamp> due = state_.timers().next_due();
    timer.expires_at(GatewayState::ToSteady(due.value_or(state_.Now())));
    co_await timer.async_wait(kAsTuple);
    state_.timers().Advance(state_.Now());
  }
}

asio::awaitable<void> Gateway::ReloadOnSignal(std::string settings_file) {
  asio::signal_set signals(*io_, SIGHUP);
  for (;;) {
    co_await signals.async_wait(kAsTuple);
    Result<GatewaySettings> settings = GatewaySettings::Load(settings_file);
    LogLine line("settings-reloaded");
    line.Add("valid", settings.has_value());
    if (settings)
      state_.Reload(settings.TakeValue());
    else
      line.Add("reason", Describe(settings.last_reason()));
    state_.log().Info(line);
  }
}

asio::awaitable<void> Gateway::LeaveOnSignal() {
  asio::signal_set signals(*io_, SIGTERM, SIGINT);
  co_await signals.async_wait(kAsTuple);
  state_.BeginLeaving(state_.Now());
  const LeavingSchedule schedule = *state_.leaving_schedule();
  heartbeat_->SendNow();
  LogLine leaving("leaving");
  leaving.Add("requests", state_.requests_in_progress);
  state_.log().Info(leaving);
  asio::co_spawn(*io_, registrar_.Deregister(), asio::detached);
  asio::steady_timer pause(*io_);
  pause.expires_at(GatewayState::ToSteady(schedule.accepts_until()));
  co_await pause.async_wait(kAsTuple);
  front_.StopAccepting();
  // A connection that has just been accepted is counted a moment later.
  do {
    pause.expires_after(kDrainPoll);
    co_await pause.async_wait(kAsTuple);
  } while (state_.connections > 0 && state_.Now() < schedule.exits_at());
  front_.handler().LogCutRequests();
  front_.CloseForExit();
  LogLine left("left");
  left.Add("requests_cut", state_.requests_in_progress);
  state_.log().Info(left);
  io_->stop();
}

}  // namespace teaselthread
