#include "teaselthread/store/fleet_records.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "teaselthread/store/crash_record.h"
#include "teaselthread/store/record_fields.h"
#include "teaselthread/store/retry_pause.h"

namespace teaselthread {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr Duration kCallTimeout = milliseconds(800);
constexpr Duration kCheckInterval = milliseconds(200);
constexpr Duration kWriteInterval = milliseconds(1'000);
// A stale read may lack what was written some seconds before.
constexpr Duration kPausesBeforeReads[] = {milliseconds(0), milliseconds(2'500),
                                           milliseconds(5'000)};
// A call without a response may be executed this much later.
constexpr Duration kMaxExecutionDelay = milliseconds(5'000);

constexpr char kMarkerName[] = "epoch";
constexpr char kEpoch[] = "epoch";

constexpr char kCrashesPrefix[] = "crashes-";

std::vector<CrashEvidence> WithoutAges(std::vector<CrashEvidence> parts) {
  for (CrashEvidence& evidence : parts)
    evidence.age = Duration::zero();
  return parts;
}

}  // namespace

FleetRecords::FleetRecords(GatewayState* state)
    : state_(state),
      reader_(state, StoreKind::kFleet, kCallTimeout),
      writer_(state, StoreKind::kFleet, kCallTimeout) {}

void FleetRecords::Start() {
  asio::co_spawn(state_->io(), ReadAtStart(), asio::detached);
  asio::co_spawn(state_->io(), WriteWhenDue(), asio::detached);
}

// A stale read costs the store little, and what it shows is valid. There may be
// later evidence if it shows any, and a later marker if it shows none of the
// epoch.
asio::awaitable<void> FleetRecords::ReadAtStart() {
  asio::steady_timer timer(state_->io());
  const StoreRestoration& restoration = state_->store_restoration();
  for (const Duration pause : kPausesBeforeReads) {
    timer.expires_after(pause);
    co_await timer.async_wait(kAsTuple);
    co_await ReadAll(true);
    const bool lacks_marker = restoration.epoch() && !restoration.is_marked();
    if (lacks_marker || has_read_crashes_) {
      co_await ReadAll(false);
      co_return;
    }
  }
}

asio::awaitable<void> FleetRecords::ReadAll(bool may_be_stale) {
  asio::steady_timer timer(state_->io());
  RetryPause pause;
  while (!co_await Read(&reader_, may_be_stale)) {
    timer.expires_after(pause.Next(state_->random()));
    co_await timer.async_wait(kAsTuple);
  }
}

asio::awaitable<bool> FleetRecords::Read(StoreClient* client,
                                         bool may_be_stale) {
  std::function<void(const StoreObject&)> on_object =
      [this](const StoreObject& object) { OnObject(object); };
  const StoreClient::ListResult result =
      co_await client->List(may_be_stale, std::move(on_object));
  if (result.is_malformed)
    state_->metrics().OnUnreadableEntry();
  co_return result.is_complete;
}

void FleetRecords::OnObject(const StoreObject& object) {
  if (object.name == kMarkerName)
    OnMarker(object);
  else if (object.name.starts_with(kCrashesPrefix))
    OnCrashRecord(object);
}

void FleetRecords::OnMarker(const StoreObject& object) {
  const json::object* fields = object.content.if_object();
  const StoreEpoch epoch =
      fields ? UnsignedField(*fields, kEpoch) : StoreEpoch();
  if (epoch)
    state_->store_restoration().OnMarker(*epoch);
  else
    state_->metrics().OnUnreadableEntry();
}

void FleetRecords::OnCrashRecord(const StoreObject& object) {
  const auto record = DecodeCrashRecord(object.content);
  if (!record) {
    state_->metrics().OnUnreadableEntry();
    return;
  }
  has_read_crashes_ = true;
  const uint64_t now_ms = GatewayState::UnixMilliseconds();
  const auto retention_ms = static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(CrashSuspects::kRetention)
          .count());
  const uint64_t age_ms =
      now_ms > record->written_at_ms ? now_ms - record->written_at_ms : 0;
  const Duration age = milliseconds(std::min(age_ms, retention_ms));
  CrashSuspects& suspects = state_->crash_suspects();
  for (const CrashEvidence& evidence : record->parts)
    suspects.MergeRecorded(evidence, age, state_->Now());
  LogLine line("crashes-read");
  line.Add("name", object.name)
      .Add("parts", record->parts.size())
      .AddTime("age", age)
      .Add("blocked", suspects.blocked_count(state_->Now()));
  state_->log().Info(line);
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
    if (!is_writer)
      continue;
    const std::optional<bool> written = co_await WriteNext();
    if (!written)
      continue;
    if (*written)
      pause.Reset();
    next = *written ? kWriteInterval : pause.Next(state_->random());
  }
}

asio::awaitable<std::optional<bool>> FleetRecords::WriteNext() {
  const Timestamp now = state_->Now();
  if (IsMarkerDue(now))
    co_return co_await WriteMarker();
  if (IsCrashRecordDue(now))
    co_return co_await WriteCrashRecord();
  co_return std::nullopt;
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
  const int status = co_await writer_.Put(object.name, std::move(body));
  if (IsSuccess(status))
    state_->store_restoration().OnMarker(epoch);
  LogLine line("epoch-marked");
  line.Add("epoch", epoch).Add("status", status);
  state_->log().Info(line);
  co_return IsSuccess(status);
}

bool FleetRecords::IsCrashRecordDue(Timestamp now) {
  const StoreEpoch epoch = state_->store_restoration().epoch();
  if (IsOlderEpoch(epoch_, epoch))
    written_.clear();  // lost
  epoch_ = epoch;
  const bool may_be_replaced = rewrite_at_ && now >= *rewrite_at_;
  return may_be_replaced ||
         WithoutAges(state_->crash_suspects().ToRecord(now)) != written_;
}

asio::awaitable<bool> FleetRecords::WriteCrashRecord() {
  const bool is_read = co_await Read(&writer_, false);
  if (!is_read)
    co_return false;
  const Timestamp now = state_->Now();
  const CrashRecord record{GatewayState::UnixMilliseconds(),
                           state_->crash_suspects().ToRecord(now)};
  StoreObject object;
  object.name = kCrashesPrefix + state_->settings().zone();
  object.content = EncodeCrashRecord(record);
  std::string body = state_->codec().EncodeObject(object);
  const int status = co_await writer_.Put(object.name, std::move(body));
  if (status == StoreClient::kNoResponse)
    rewrite_at_ = state_->Now() + kMaxExecutionDelay;
  else if (rewrite_at_ && now >= *rewrite_at_)
    rewrite_at_.reset();
  if (IsSuccess(status))
    written_ = WithoutAges(record.parts);
  LogLine line("crashes-recorded");
  line.Add("parts", record.parts.size()).Add("status", status);
  state_->log().Info(line);
  co_return IsSuccess(status);
}

}  // namespace teaselthread
