#include "teaselthread/store/fleet_records.h"

#include <boost/json.hpp>
#include <utility>

#include "teaselthread/store/retry_pause.h"

namespace teaselthread {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr Duration kCallTimeout = milliseconds(800);
constexpr Duration kCheckInterval = milliseconds(200);

constexpr char kMarkerName[] = "epoch";
constexpr char kEpoch[] = "epoch";

StoreEpoch DecodeMarker(const json::value& content) {
  const json::object* fields = content.if_object();
  const json::value* epoch = fields ? fields->if_contains(kEpoch) : nullptr;
  if (!epoch || !epoch->is_number())
    return std::nullopt;
  boost::system::error_code failure;
  const auto number = epoch->to_number<uint64_t>(failure);
  return failure ? std::nullopt : StoreEpoch(number);
}

}  // namespace

FleetRecords::FleetRecords(GatewayState* state)
    : state_(state), client_(state, StoreKind::kFleet, kCallTimeout) {}

void FleetRecords::Start() {
  asio::co_spawn(state_->io(), ReadAtStart(), asio::detached);
  asio::co_spawn(state_->io(), WriteWhenDue(), asio::detached);
}

// A stale read costs the store little, and a marker that it shows is valid.
// Only if it shows none for the epoch, there may be a later one.
asio::awaitable<void> FleetRecords::ReadAtStart() {
  co_await ReadAll(true);
  const StoreRestoration& restoration = state_->store_restoration();
  if (restoration.epoch() && !restoration.is_marked())
    co_await ReadAll(false);
}

asio::awaitable<void> FleetRecords::ReadAll(bool may_be_stale) {
  asio::steady_timer timer(state_->io());
  RetryPause pause;
  for (;;) {
    std::function<void(const StoreObject&)> on_object =
        [this](const StoreObject& object) { OnObject(object); };
    const StoreClient::ListResult result =
        co_await client_.List(may_be_stale, std::move(on_object));
    if (result.is_malformed)
      state_->metrics().OnUnreadableEntry();
    if (result.is_complete)
      co_return;
    timer.expires_after(pause.Next(state_->random()));
    co_await timer.async_wait(kAsTuple);
  }
}

void FleetRecords::OnObject(const StoreObject& object) {
  if (object.name != kMarkerName)
    return;
  if (const StoreEpoch epoch = DecodeMarker(object.content))
    state_->store_restoration().OnMarker(*epoch);
  else
    state_->metrics().OnUnreadableEntry();
}

asio::awaitable<void> FleetRecords::WriteWhenDue() {
  asio::steady_timer timer(state_->io());
  RetryPause pause;
  for (Duration next = kCheckInterval; !state_->leaving();) {
    timer.expires_after(next);
    co_await timer.async_wait(kAsTuple);
    next = kCheckInterval;
    const Timestamp now = state_->Now();
    const bool is_writer =
        leader_term_.IsFirm(state_->peers().IsZoneLeader(now), now);
    if (!is_writer || !IsMarkerDue(now))
      continue;
    const bool written = co_await WriteMarker();
    if (written)
      pause.Reset();
    else
      next = pause.Next(state_->random());
  }
}

bool FleetRecords::IsMarkerDue(Timestamp now) const {
  const StoreRestoration& restoration = state_->store_restoration();
  return restoration.epoch() && !restoration.is_marked() &&
         !restoration.MayLackObjects(now);
}

asio::awaitable<bool> FleetRecords::WriteMarker() {
  const uint64_t epoch = *state_->store_restoration().epoch();
  StoreObject object;
  object.name = kMarkerName;
  object.content = json::object{{kEpoch, epoch}};
  std::string body = state_->codec().EncodeObject(object);
  const int status = co_await client_.Put(object.name, std::move(body));
  if (IsSuccess(status))
    state_->store_restoration().OnMarker(epoch);
  LogLine line("epoch-marked");
  line.Add("epoch", epoch).Add("status", status);
  state_->log().Info(line);
  co_return IsSuccess(status);
}

}  // namespace teaselthread
