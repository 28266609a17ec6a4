#include "teaselthread/platform_controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "teaselthread/platform_json.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWatchWait = seconds(25);
constexpr Duration kRetryDelay = milliseconds(500);
constexpr Duration kMaxJitter = milliseconds(500);
constexpr Duration kReadLeasesInterval = seconds(1'800);
// A lease that has not been renewed for this many intervals has expired.
constexpr int kLeaseLifetimeIntervals = 3;

}  // namespace

PlatformController::PlatformController(NodeState* state, PlatformClient client)
    : state_(state), client_(std::move(client)) {}

void PlatformController::Start() {
  asio::co_spawn(
      state_->io(),
      Watch(kConfigurationKind, &PlatformController::ApplyConfiguration),
      asio::detached);
  asio::co_spawn(state_->io(),
                 Watch(kVmsKind, &PlatformController::ApplyVmList),
                 asio::detached);
  asio::co_spawn(state_->io(), MaintainLease(), asio::detached);
}

asio::awaitable<void> PlatformController::ReleaseLease() {
  if (lease_version_ == 0)
    co_return;
  co_await client_.Remove(kNodesKind, state_->settings().name(),
                          lease_version_);
}

asio::awaitable<void> PlatformController::Watch(const char* kind,
                                                ListHandler handler) {
  uint64_t revision = 0;
  for (;;) {
    const Result<PlatformList> list =
        co_await client_.Watch(kind, revision, kWatchWait);
    RecordPlatformCall(list.has_value());
    if (!list) {
      co_await Sleep(kRetryDelay);
      continue;
    }
    (this->*handler)(*list);
    // A platform that replies immediately with an older or the same revision
    // has a stale state.
    const bool is_behind = !list->objects.empty() && list->revision <= revision;
    revision = std::max(revision, list->revision);
    if (is_behind)
      co_await Sleep(kRetryDelay);
  }
}

asio::awaitable<void> PlatformController::MaintainLease() {
  for (;;) {
    co_await RenewLease();
    const bool is_due = !leases_read_at_ ||
                        state_->Now() - *leases_read_at_ >= kReadLeasesInterval;
    if (is_due)
      co_await ReadLeases();
    co_await RemoveExpiredPeers();
    // Retries soon until the leases have been read for the first time.
    co_await Sleep(leases_read_at_ ? state_->settings().timing().lease_interval
                                   : kRetryDelay);
  }
}

asio::awaitable<void> PlatformController::RenewLease() {
  const std::string& name = state_->settings().name();
  const std::string value = WriteLease(state_->membership().self());
  const Result<uint64_t> written =
      co_await client_.Write(kNodesKind, name, value, lease_version_);
  RecordPlatformCall(written ||
                     written.last_reason().code == ErrorCode::kConflict);
  if (written) {
    lease_version_ = *written;
    co_return;
  }
  if (written.last_reason().code != ErrorCode::kConflict)
    co_return;
  // The lease is from an earlier process of this name, or from a write whose
  // reply was lost.
  const Result<PlatformObject> current =
      co_await client_.Read(kNodesKind, name);
  if (current)
    lease_version_ = current->version;
  else if (current.last_reason().code == ErrorCode::kNotFound)
    lease_version_ = 0;
}

asio::awaitable<void> PlatformController::ReadLeases() {
  const Result<PlatformList> list = co_await client_.List(kNodesKind);
  RecordPlatformCall(list.has_value());
  if (!list)
    co_return;
  const Timestamp now = state_->Now();
  leases_read_at_ = now;
  std::vector<Member> leased;
  for (const PlatformObject& object : list->objects) {
    const Result<Member> member = ReadLease(object);
    if (member)
      leased.push_back(*member);
  }
  state_->membership().OnPlatformList(leased, now);
}

asio::awaitable<void> PlatformController::RemoveExpiredPeers() {
  std::vector<Member> dead;
  for (const Member* peer : state_->membership().peers()) {
    if (peer->status == MemberStatus::kDead)
      dead.push_back(*peer);
  }
  for (const Member& peer : dead) {
    const Result<PlatformObject> lease =
        co_await client_.Read(kNodesKind, peer.name);
    const bool is_gone =
        !lease && lease.last_reason().code == ErrorCode::kNotFound;
    const bool has_expired = lease && HasExpired(*lease, state_->Now());
    if (has_expired) {
      observed_leases_.erase(peer.name);
      co_await client_.Remove(kNodesKind, peer.name, lease->version);
    }
    if (is_gone || has_expired)
      state_->membership().OnLeaseEnded(peer.incarnation);
  }
}

bool PlatformController::HasExpired(const PlatformObject& object,
                                    Timestamp now) {
  ObservedLease& lease = observed_leases_[object.name];
  if (lease.version != object.version) {
    lease = {object.version, now};
    return false;
  }
  const Duration lifetime =
      kLeaseLifetimeIntervals * state_->settings().timing().lease_interval;
  return now - lease.unchanged_since >= lifetime;
}

asio::awaitable<void> PlatformController::Sleep(Duration duration) {
  std::uniform_int_distribution<int64_t> jitter(0, kMaxJitter.count());
  asio::steady_timer timer(state_->io());
  timer.expires_after(duration + Duration(jitter(state_->random())));
  co_await timer.async_wait(kAsTuple);
}

void PlatformController::ApplyConfiguration(const PlatformList& list) {
  for (const PlatformObject& object : list.objects) {
    if (object.name != kConfigurationName)
      continue;
    const auto offer =
        state_->configuration().UpdateIfNewer(object.version, object.value);
    if (offer == ConfigurationHolder::UpdateResult::kApplied) {
      spdlog::info("applied configuration {} from the platform",
                   object.version);
    } else if (offer == ConfigurationHolder::UpdateResult::kRejected) {
      spdlog::error("rejected configuration {} from the platform: {}",
                    object.version,
                    Describe(state_->configuration().last_reason()));
    }
  }
}

void PlatformController::ApplyVmList(const PlatformList& list) {
  if (list.revision <= state_->directory().version())
    return;
  std::vector<Endpoint> endpoints;
  for (const PlatformObject& object : list.objects) {
    Result<Endpoint> endpoint = ReadEndpoint(object);
    if (endpoint)
      endpoints.push_back(endpoint.TakeValue());
    else
      spdlog::warn("{}", Describe(endpoint.last_reason()));
  }
  if (state_->directory().Replace(list.revision, std::move(endpoints)))
    state_->loads().Forget(state_->directory());
}

void PlatformController::RecordPlatformCall(bool reachable) {
  state_->metrics().OnPlatformCall(reachable);
  if (reachable == platform_is_reachable_)
    return;
  platform_is_reachable_ = reachable;
  if (reachable)
    spdlog::info("the platform is reachable");
  else
    spdlog::warn("the platform is not reachable");
}

}  // namespace teaselthread
