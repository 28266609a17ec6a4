#include "teaselthread/store/store_watcher.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// A store that is slow answers within this; a dead connection is noticed so
// long after the time that a watch was to wait.
constexpr Duration kCallTimeout = milliseconds(800);
constexpr Duration kProbeWait = milliseconds(10);
constexpr Duration kMinBackOff = milliseconds(60);
constexpr uint32_t kMaxDoublings = 6;
constexpr int kOk = 200;
constexpr int kGone = 410;

}  // namespace

StoreWatcher::StoreWatcher(GatewayState* state,
                           StoreKind kind,
                           std::function<Pace()> pace,
                           Callbacks callbacks)
    : state_(state),
      kind_(kind),
      pace_(std::move(pace)),
      callbacks_(std::move(callbacks)),
      connection_(state->settings().store()),
      pause_(state->io()) {}

void StoreWatcher::Reconnect() {
  connection_.Reconnect();
  if (is_lost())
    pause_.cancel();
}

void StoreWatcher::Start() {
  asio::co_spawn(state_->io(), Run(), asio::detached);
}

asio::awaitable<void> StoreWatcher::Run() {
  bool is_listed = false;
  for (;;) {
    Step step = Step::kDone;
    if (is_listed)
      step = co_await Watch();
    else
      step = co_await List();
    if (step == Step::kFailed)
      co_await BackOff();
    else if (step != Step::kAskAgain)
      is_listed = step == Step::kDone;
  }
}

asio::awaitable<StoreWatcher::Step> StoreWatcher::List() {
  std::vector<StoreObject> objects;
  const Timestamp asked_at = GatewayState::BootNow();
  std::optional<uint64_t> first_revision;
  for (std::string after;;) {
    std::string target = state_->codec().ListTarget(kind_, after, false);
    Result<HttpReply> reply = co_await Get(std::move(target), kCallTimeout);
    if (!reply)
      co_return OnNoAnswer(reply.last_reason());
    Result<StorePage> page = state_->codec().DecodeList(reply->body);
    if (!page)
      co_return OnFailure(Describe(page.last_reason()));
    // Changes made while later pages are read come with the watch.
    if (!first_revision)
      first_revision = page->revision;
    for (const StoreObject& object : page->objects)
      objects.push_back(object);
    if (!page->has_more || page->objects.empty())
      break;
    after = page->objects.back().name;
  }
  OnSuccess(objects);
  revision_ = *first_revision;
  callbacks_.on_list(objects, asked_at);
  co_return Step::kDone;
}

asio::awaitable<StoreWatcher::Step> StoreWatcher::Watch() {
  const Timestamp asked_at = GatewayState::BootNow();
  // After a failure a short call shows at once whether the store is back.
  const Duration wait = failures_ > 0 ? kProbeWait : pace_().wait;
  std::string target = state_->codec().WatchTarget(kind_, revision_, wait);
  Result<HttpReply> reply =
      co_await Get(std::move(target), wait + kCallTimeout);
  if (!reply) {
    if (reply.last_reason().code == ErrorCode::kNotFound)
      co_return Step::kListAgain;
    co_return OnNoAnswer(reply.last_reason());
  }
  Result<StorePage> page = state_->codec().DecodeWatch(reply->body);
  if (!page)
    co_return OnFailure(Describe(page.last_reason()));
  OnSuccess(page->objects);
  revision_ = std::max(revision_, page->revision);
  callbacks_.on_changes(page->objects, asked_at);
  if (!page->objects.empty()) {
    pause_.expires_after(pace_().gather);
    co_await pause_.async_wait(kAsTuple);
  }
  co_return Step::kDone;
}

// Fails with kNotFound if the history that was asked for is gone.
asio::awaitable<Result<HttpReply>> StoreWatcher::Get(std::string target,
                                                     Duration timeout) {
  called_at_ = state_->Now();
  Result<HttpReply> reply =
      co_await connection_.Get(std::move(target), timeout);
  const bool is_superseded =
      !reply && reply.last_reason().code == ErrorCode::kSuperseded;
  state_->metrics().OnStoreCall(is_superseded ||
                                (reply && reply->status == kOk));
  if (!reply || reply->status == kOk)
    co_return reply;
  const ErrorCode code =
      reply->status == kGone ? ErrorCode::kNotFound : ErrorCode::kUnavailable;
  co_return Error{code, "the store answered " + std::to_string(reply->status)};
}

StoreWatcher::Step StoreWatcher::OnNoAnswer(const Error& reason) {
  if (reason.code == ErrorCode::kSuperseded)
    return Step::kAskAgain;
  return OnFailure(Describe(reason));
}

StoreWatcher::Step StoreWatcher::OnFailure(const std::string& detail) {
  last_failed_call_at_ = called_at_;
  if (failures_++ == 0) {
    LogLine line("store-lost");
    line.Add("kind", ToString(kind_)).Add("detail", detail);
    state_->log().Warn(line);
    callbacks_.on_reachable(false);
  }
  return Step::kFailed;
}

void StoreWatcher::OnSuccess(const std::vector<StoreObject>& objects) {
  for (const StoreObject& object : objects)
    newest_change_ = std::max(newest_change_, object.revision);
  if (failures_ > 0) {
    LogLine line("store-regained");
    line.Add("kind", ToString(kind_))
        .Add("failures", failures_)
        .AddTime("last_failed_call", state_->Now() - last_failed_call_at_);
    state_->log().Info(line);
    callbacks_.on_reachable(true);
  }
  failures_ = 0;
}

asio::awaitable<void> StoreWatcher::BackOff() {
  const uint32_t doublings = std::min(failures_ - 1, kMaxDoublings);
  const Duration longest =
      std::min(kMinBackOff * (1 << doublings), pace_().max_back_off);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const auto time = Duration(
      static_cast<Duration::rep>(longest.count() * jitter(state_->random())));
  if (holds_)
    pause_.expires_at(asio::steady_timer::time_point::max());
  else
    pause_.expires_after(time);
  co_await pause_.async_wait(kAsTuple);
}

}  // namespace teaselthread
