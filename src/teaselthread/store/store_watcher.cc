#include "teaselthread/store/store_watcher.h"

#include <algorithm>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Long enough for a slow store to respond. A watch call times out this long
// after the end of its wait, which is how a dead connection is detected.
constexpr Duration kCallTimeout = milliseconds(800);
constexpr uint32_t kMaxDoublings = 6;
constexpr int kOk = 200;
constexpr int kGone = 410;

}  // namespace

StoreWatcher::StoreWatcher(GatewayState* state,
                           StoreKind kind,
                           Duration max_leader_status_age,
                           std::function<PollTiming()> poll_timing,
                           Callbacks callbacks)
    : state_(state),
      kind_(kind),
      poll_timing_(std::move(poll_timing)),
      callbacks_(std::move(callbacks)),
      connection_(state->settings().store()),
      view_(max_leader_status_age),
      pause_(state->io()) {}

void StoreWatcher::Reconnect() {
  connection_.Reconnect();
  if (is_unreachable())
    pause_.cancel();
}

void StoreWatcher::CallNow() {
  if (connection_.busy())
    connection_.Reconnect();
  else
    pause_.cancel();
}

void StoreWatcher::Resume() {
  if (is_suspended())
    pause_.cancel();
}

void StoreWatcher::Start() {
  asio::co_spawn(state_->io(), Run(), asio::detached);
}

asio::awaitable<void> StoreWatcher::Run() {
  bool is_listed = false;
  for (;;) {
    CallResult result = CallResult::kDone;
    if (is_listed && poll_timing_().is_suspended)
      co_await WaitForResume();
    else if (is_listed)
      result = co_await Watch();
    else
      result = co_await List();
    if (result == CallResult::kFailed)
      co_await Backoff();
    else if (result != CallResult::kRetry)
      is_listed = result == CallResult::kDone;
    if (result == CallResult::kRelist && relists_++ > 0)
      co_await PauseBeforeList();
  }
}

asio::awaitable<StoreWatcher::CallResult> StoreWatcher::List() {
  std::vector<StoreObject> objects;
  const Timestamp requested_at = GatewayState::BootNow();
  std::optional<uint64_t> first_revision;
  StoreEpoch epoch;
  for (std::string after;;) {
    std::string target = state_->codec().ListTarget(kind_, after, false);
    Result<HttpReply> reply = co_await Get(std::move(target), kCallTimeout);
    if (!reply)
      co_return OnCallError(reply.last_reason());
    Result<StorePage> page = state_->codec().DecodeList(reply->body);
    if (!page)
      co_return OnFailure(Describe(page.last_reason()));
    const StoreEpoch page_epoch =
        state_->codec().DecodeStoreEpoch(*reply->fields);
    state_->OnStoreEpoch(page_epoch);
    // The watch starts from the revision of the first page, so it also delivers
    // the changes made while the later pages are read.
    if (!first_revision) {
      first_revision = page->revision;
      epoch = page_epoch;
    }
    if (IsOlderEpoch(epoch, page_epoch))
      co_return CallResult::kRelist;
    LogUnidentified(*page);
    for (const StoreObject& object : page->objects)
      objects.push_back(object);
    if (!page->has_more || page->objects.empty())
      break;
    after = page->objects.back().name;
  }
  StoreUpdate update{std::move(objects), *first_revision, *first_revision,
                     requested_at};
  co_return ApplyList(std::move(update), epoch);
}

StoreWatcher::CallResult StoreWatcher::ApplyList(StoreUpdate update,
                                                 StoreEpoch epoch) {
  const uint64_t known = view_.revision();
  const bool is_restored = IsOlderEpoch(view_.epoch(), epoch);
  if (is_restored)
    newest_object_revision_ = 0;
  OnSuccess(update.objects);
  // Relayed changes may have overtaken the list.
  if (!view_.OnList(update.to, epoch))
    return CallResult::kRelist;
  confirmed_at_ = update.requested_at;
  view_.OnConfirmed(called_at_);
  if (is_restored || update.to != known)
    known_since_ = state_->Now();
  if (is_restored)
    OnRestored(epoch, known, update.to);
  callbacks_.on_list(update);
  return CallResult::kDone;
}

void StoreWatcher::OnRestored(StoreEpoch epoch,
                              uint64_t known,
                              uint64_t listed) {
  state_->metrics().OnStoreRestored();
  LogLine line("store-restored");
  line.Add("kind", ToString(kind_))
      .Add("epoch", *epoch)
      .Add("known", known)
      .Add("listed", listed);
  state_->log().Warn(line);
  if (callbacks_.on_restored)
    callbacks_.on_restored(epoch);
}

asio::awaitable<StoreWatcher::CallResult> StoreWatcher::Watch() {
  const Timestamp requested_at = GatewayState::BootNow();
  // After a failure, a call with a short wait shows at once whether the store
  // is back.
  call_wait_ = failures_ > 0 ? kProbeWait : poll_timing_().wait;
  const uint64_t from = view_.revision();
  std::string target = state_->codec().WatchTarget(kind_, from, call_wait_);
  Result<HttpReply> reply =
      co_await Get(std::move(target), call_wait_ + kCallTimeout);
  if (!reply) {
    if (reply.last_reason().code == ErrorCode::kNotFound)
      co_return CallResult::kRelist;
    co_return OnCallError(reply.last_reason());
  }
  Result<StorePage> page = state_->codec().DecodeWatch(reply->body);
  if (!page)
    co_return OnFailure(Describe(page.last_reason()));
  // The changes are those of another history.
  const StoreEpoch epoch = state_->codec().DecodeStoreEpoch(*reply->fields);
  state_->OnStoreEpoch(epoch);
  if (epoch && epoch != view_.epoch())
    co_return CallResult::kRelist;
  OnSuccess(page->objects);
  LogUnidentified(*page);
  view_.OnConfirmed(called_at_);
  relists_ = 0;
  const bool has_changes = !page->objects.empty();
  StoreUpdate update{{}, from, page->revision, requested_at};
  if (view_.OnChanges(from, page->revision, has_changes))
    update.objects = page->objects;
  // Changes that a relayed batch has overtaken are not applied now, and are in
  // the response to the next call.
  if (view_.revision() >= page->revision)
    confirmed_at_ = requested_at;
  callbacks_.on_changes(update);
  if (has_changes) {
    pause_.expires_after(poll_timing_().batch_delay);
    co_await pause_.async_wait(kAsTuple);
  }
  co_return CallResult::kDone;
}

// Fails with kNotFound if the store no longer holds the requested history.
asio::awaitable<Result<HttpReply>> StoreWatcher::Get(std::string target,
                                                     Duration timeout) {
  called_at_ = state_->Now();
  Result<HttpReply> reply = co_await connection_.Get(target, timeout);
  const bool is_superseded =
      !reply && reply.last_reason().code == ErrorCode::kSuperseded;
  if (is_superseded)
    state_->metrics().OnStoreCall(true);
  else
    state_->OnStoreCall(kind_, target, reply ? reply->status : 0, called_at_);
  if (!reply || reply->status == kOk)
    co_return reply;
  const ErrorCode code =
      reply->status == kGone ? ErrorCode::kNotFound : ErrorCode::kUnavailable;
  co_return Error{
      code, "the store responded with status " + std::to_string(reply->status)};
}

StoreWatcher::CallResult StoreWatcher::OnCallError(const Error& reason) {
  if (reason.code == ErrorCode::kSuperseded)
    return CallResult::kRetry;
  return OnFailure(Describe(reason));
}

StoreWatcher::CallResult StoreWatcher::OnFailure(const std::string& detail) {
  last_failed_call_at_ = called_at_;
  if (failures_++ == 0) {
    LogLine line("store-lost");
    line.Add("kind", ToString(kind_)).Add("detail", detail);
    state_->log().Warn(line);
    callbacks_.on_reachability_changed(false);
  }
  return CallResult::kFailed;
}

void StoreWatcher::OnSuccess(const std::vector<StoreObject>& objects) {
  for (const StoreObject& object : objects)
    newest_object_revision_ =
        std::max(newest_object_revision_, object.revision);
  if (failures_ > 0) {
    LogLine line("store-regained");
    line.Add("kind", ToString(kind_))
        .Add("failures", failures_)
        .AddTime("last_failed_call", state_->Now() - last_failed_call_at_);
    state_->log().Info(line);
    callbacks_.on_reachability_changed(true);
  }
  failures_ = 0;
}

void StoreWatcher::LogUnidentified(const StorePage& page) {
  if (page.unidentified == 0)
    return;
  state_->metrics().OnUnreadableEntry();
  LogLine line("entries-unidentified");
  line.Add("kind", ToString(kind_))
      .Add("count", page.unidentified)
      .Add("revision", page.revision);
  state_->log().Warn(line);
}

asio::awaitable<void> StoreWatcher::WaitForResume() {
  suspended_since_ = state_->Now();
  pause_.expires_at(asio::steady_timer::time_point::max());
  co_await pause_.async_wait(kAsTuple);
  suspended_since_.reset();
}

Duration StoreWatcher::BackoffTime(uint32_t attempts) {
  const BackoffLimits limits = poll_timing_().backoff;
  const uint32_t doublings = std::min(attempts - 1, kMaxDoublings);
  const Duration longest =
      std::min(limits.shortest * (1 << doublings), limits.longest);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  return Duration(
      static_cast<Duration::rep>(longest.count() * jitter(state_->random())));
}

asio::awaitable<void> StoreWatcher::Backoff() {
  const Duration time = BackoffTime(failures_);
  if (suspends_after_failure_)
    pause_.expires_at(asio::steady_timer::time_point::max());
  else
    pause_.expires_after(time);
  co_await pause_.async_wait(kAsTuple);
}

asio::awaitable<void> StoreWatcher::PauseBeforeList() {
  pause_.expires_after(BackoffTime(relists_ - 1));
  co_await pause_.async_wait(kAsTuple);
}

}  // namespace teaselthread
