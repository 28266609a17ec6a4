#include "teaselthread/store/rollout_writer.h"

#include <utility>

#include "teaselthread/store/retry_pause.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCheckInterval = milliseconds(100);
constexpr Duration kCallTimeout = milliseconds(800);
// After a write, the watch needs some time to deliver it.
constexpr Duration kPauseAfterWrite = milliseconds(400);

}  // namespace

RolloutWriter::RolloutWriter(GatewayState* state)
    : state_(state), client_(state, StoreKind::kRollouts, kCallTimeout) {}

void RolloutWriter::Start() {
  if (state_->rollouts().enabled())
    asio::co_spawn(state_->io(), Run(), asio::detached);
}

asio::awaitable<void> RolloutWriter::Run() {
  asio::steady_timer timer(state_->io());
  RetryPause pause;
  for (;;) {
    Duration next = kCheckInterval;
    const bool is_due =
        !state_->rollouts().rollouts().empty() &&
        !state_->rollouts()
             .WantedWrites(state_->MakeRolloutFleet(), state_->Now())
             .empty();
    if (is_due && co_await WriteStates()) {
      pause.Reset();
      next = kPauseAfterWrite;
    } else if (is_due) {
      next = pause.Next(state_->random());
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
  std::function<void(const StoreObject&)> on_object =
      [&](const StoreObject& object) {
        const Result<RolloutOrder> order =
            state_->codec().DecodeRollout(object);
        if (!order)
          return;
        state_->rollouts().Put(*order, state_->Now());
        names.insert(order->name);
      };
  const StoreClient::ListResult result =
      co_await client_.List(false, std::move(on_object));
  co_return result.is_complete ? std::optional(names) : std::nullopt;
}

asio::awaitable<bool> RolloutWriter::Write(const RolloutWrite& write) {
  // From here on the write may take effect, whatever is received.
  state_->rollouts().OnWrite(write);
  std::string target = state_->codec().StatusTarget(write.name);
  std::string body =
      state_->codec().EncodeStatus(write.name, write.status, write.revision);
  const Timestamp called_at = state_->Now();
  const int status = co_await client_.Call(http::verb::put, std::move(target),
                                           std::move(body));
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
