#include "teaselthread/streams/stream_record_reader.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "teaselthread/streams/stream_record.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A page may have several hundred KB, and the links of gateways are narrow.
constexpr Duration kCallTimeout = milliseconds(1'500);
// Pause after a read that has failed.
constexpr Duration kFailurePause = milliseconds(300);
// The times of day of two machines may differ by some seconds.
constexpr Duration kClockMargin = seconds(5);
constexpr Duration kRemovalMargin = seconds(60);
constexpr size_t kMaxRemovals = 8;  // per read
// A hyphen and the digit of the slot follow the gateway's name.
constexpr size_t kSlotSuffixSize = 2;

}  // namespace

StreamRecordReader::StreamRecordReader(GatewayState* state)
    : state_(state),
      client_(state, StoreKind::kStreams, kCallTimeout),
      removal_client_(state, StoreKind::kStreams, kCallTimeout),
      read_ended_(state->io(), asio::steady_timer::time_point::max()) {}

asio::awaitable<bool> StreamRecordReader::Read(Duration max_age) {
  if (read_at_ && *read_at_ >= state_->Now() - max_age)
    co_return true;
  if (failed_at_ && state_->Now() - *failed_at_ < kFailurePause)
    co_return false;
  if (!is_reading_)
    co_return co_await ReadAll();
  co_await read_ended_.async_wait(kAsTuple);
  co_return last_succeeded_;
}

asio::awaitable<bool> StreamRecordReader::ReadAll() {
  const Timestamp began_at = state_->Now();
  is_reading_ = true;
  outdated_.clear();
  Summary summary;
  // Callers wait for the end of the read, whatever it is.
  try {
    last_succeeded_ = co_await ReadPages(&summary);
  } catch (const std::exception&) {
    last_succeeded_ = false;
  }
  const bool succeeded = last_succeeded_;
  if (succeeded) {
    read_at_ = began_at;
    state_->version_history().OnRecordsRead(began_at);
  } else {
    failed_at_ = state_->Now();
  }
  is_reading_ = false;
  read_ended_.cancel();
  state_->metrics().OnStreamRecordsRead(summary.objects);
  LogLine line("stream-records-read");
  line.Add("objects", summary.objects)
      .Add("streams", summary.streams)
      .Add("status", summary.status)
      .AddTime("elapsed", state_->Now() - began_at);
  state_->log().Info(line);
  if (!outdated_.empty() && state_->peers().IsZoneLeader(state_->Now())) {
    std::vector<std::string> targets = std::exchange(outdated_, {});
    asio::co_spawn(state_->io(), Remove(std::move(targets)), asio::detached);
  }
  co_return succeeded;
}

asio::awaitable<bool> StreamRecordReader::ReadPages(Summary* summary) {
  std::function<void(const StoreObject&)> on_object =
      [this, summary](const StoreObject& object) { OnObject(object, summary); };
  const StoreClient::ListResult result =
      co_await client_.List(false, std::move(on_object));
  summary->status = result.status;
  if (result.is_malformed)
    state_->metrics().OnUnreadableEntry();
  co_return result.is_complete;
}

void StreamRecordReader::OnObject(const StoreObject& object, Summary* summary) {
  const auto record = DecodeStreamRecord(object.content);
  if (!record) {
    state_->metrics().OnUnreadableEntry();
    return;
  }
  if (IsOwn(object.name))
    own_slots_[object.name.back() - '0'] = record->written_at_ms;
  const uint64_t now_ms = GatewayState::UnixMilliseconds();
  const Duration retention = state_->LongestStreamLifetime();
  // Longer ages do not differ from this one in their effect.
  const Duration max_age = 2 * (retention + kRemovalMargin);
  const uint64_t age_ms =
      now_ms > record->written_at_ms ? now_ms - record->written_at_ms : 0;
  const Duration age = milliseconds(std::min<uint64_t>(
      age_ms, static_cast<uint64_t>(
                  std::chrono::duration_cast<milliseconds>(max_age).count())));
  if (age > retention + kRemovalMargin && !IsOwn(object.name) &&
      outdated_.size() < kMaxRemovals) {
    outdated_.push_back(state_->codec().RemovalTarget(
        StoreKind::kStreams, object.name, object.revision));
  }
  if (age > retention + kClockMargin)
    return;
  const Timestamp now = state_->Now();
  for (const auto& [service, versions] : record->served) {
    for (const auto& [version, served_age] : versions)
      state_->version_history().OnRecorded(service, version,
                                           now - age - served_age);
  }
  for (StreamOrigin stream : record->streams) {
    stream.age += age;
    state_->stream_origins().OnRecorded(stream, now);
  }
  ++summary->objects;
  summary->streams += record->streams.size();
}

bool StreamRecordReader::IsOwn(const std::string& name) const {
  const std::string& self = state_->settings().name();
  return name.size() == self.size() + kSlotSuffixSize &&
         name.starts_with(self + "-");
}

asio::awaitable<void> StreamRecordReader::Remove(
    std::vector<std::string> targets) {
  for (const std::string& target : targets) {
    std::string called = target;
    std::string no_body;
    const int status = co_await removal_client_.Call(
        http::verb::delete_, std::move(called), std::move(no_body));
    if (status == StoreClient::kNoResponse)
      co_return;
  }
}

}  // namespace teaselthread
