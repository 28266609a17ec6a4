#include "teaselthread/store/rollout_writer.h"

#include <algorithm>
#include <utility>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCheckInterval = milliseconds(100);
constexpr Duration kCallTimeout = milliseconds(800);
// After a write, the watch needs some time to deliver it.
constexpr Duration kPauseAfterWrite = milliseconds(400);
// Pauses after failures double up to the longest one.
constexpr Duration kShortestPause = milliseconds(200);
constexpr Duration kLongestPause = milliseconds(3'200);
constexpr int kOk = 200;
constexpr int kNoResponse = 0;

}  // namespace

RolloutWriter::RolloutWriter(GatewayState* state)
    : state_(state), connection_(state->settings().store()) {}

void RolloutWriter::Start() {
  if (state_->rollouts().enabled())
    asio::co_spawn(state_->io(), Run(), asio::detached);
}

asio::awaitable<void> RolloutWriter::Run() {
  asio::steady_timer timer(state_->io());
  Duration pause = kShortestPause;
  for (;;) {
    Duration next = kCheckInterval;
    const bool is_due =
        !state_->rollouts().rollouts().empty() &&
        !state_->rollouts()
             .WantedWrites(state_->MakeRolloutFleet(), state_->Now())
             .empty();
    if (is_due && co_await WriteStates()) {
      pause = kShortestPause;
      next = kPauseAfterWrite;
    } else if (is_due) {
      std::uniform_real_distribution<double> jitter(0.7, 1.0);
      next = std::chrono::duration_cast<Duration>(pause *
                                                  jitter(state_->random()));
      pause = std::min(2 * pause, kLongestPause);
    }
    timer.expires_after(next);
    co_await timer.async_wait(kAsTuple);
  }
}

asio::awaitable<bool> RolloutWriter::WriteStates() {
  const auto names = co_await ReadOrders();
  if (!names)
    co_return false;
  RolloutTable& rollouts = state_->rollouts();
  bool succeeded = true;
  for (const RolloutWrite& write :
       rollouts.WantedWrites(state_->MakeRolloutFleet(), state_->Now())) {
    // An order that was not read may have been taken back.
    if (names->contains(write.name))
      succeeded = co_await Write(write) && succeeded;
  }
  co_return succeeded;
}

asio::awaitable<std::optional<std::set<std::string>>>
RolloutWriter::ReadOrders() {
  std::set<std::string> names;
  for (std::string after;;) {
    std::string target =
        state_->codec().ListTarget(StoreKind::kRollouts, after, false);
    const Timestamp called_at = state_->Now();
    const Result<HttpReply> reply =
        co_await connection_.Get(target, kCallTimeout);
    state_->OnStoreCall(StoreKind::kRollouts, target,
                        reply ? reply->status : kNoResponse, called_at);
    if (!reply || reply->status != kOk)
      co_return std::nullopt;
    const Result<StorePage> page = state_->codec().DecodeList(reply->body);
    if (!page)
      co_return std::nullopt;
    for (const StoreObject& object : page->objects) {
      const Result<RolloutOrder> order = state_->codec().DecodeRollout(object);
      if (!order)
        continue;
      state_->rollouts().Put(*order, state_->Now());
      names.insert(order->name);
    }
    if (!page->has_more || page->objects.empty())
      co_return names;
    after = page->objects.back().name;
  }
}

asio::awaitable<bool> RolloutWriter::Write(const RolloutWrite& write) {
  // From here on the write may take effect, whatever is received.
  state_->rollouts().OnWrite(write);
  std::string target = state_->codec().StatusTarget(write.name);
  std::string body =
      state_->codec().EncodeStatus(write.name, write.status, write.revision);
  const Timestamp called_at = state_->Now();
  const Result<HttpReply> reply = co_await connection_.Call(
      http::verb::put, target, std::move(body), kCallTimeout);
  const int status = reply ? reply->status : kNoResponse;
  state_->OnStoreCall(StoreKind::kRollouts, target, status, called_at);
  LogLine line("rollout-written");
  line.Add("name", write.name)
      .Add("target", write.status.target)
      .Add("state", ToString(write.status.state))
      .Add("revision", write.revision)
      .Add("status", status)
      .AddTime("elapsed", state_->Now() - called_at);
  state_->log().Info(line);
  co_return IsSuccess(status);
}

}  // namespace teaselthread
