#include "teaselthread/streams/stream_recorder.h"

#include <algorithm>
#include <utility>

#include "teaselthread/store/retry_pause.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCheckInterval = milliseconds(50);
constexpr Duration kWriteInterval = milliseconds(150);
// Any read of this process will do.
constexpr Duration kAnyAge = std::chrono::hours(1);
constexpr Duration kCallTimeout = milliseconds(800);
constexpr Duration kLogInterval = milliseconds(1'000);

std::map<uint32_t, std::set<std::string>> VersionsOf(
    const MixedServices& mixed) {
  std::map<uint32_t, std::set<std::string>> versions;
  for (const auto& [service, times] : mixed) {
    for (const auto& [version, last_served_at] : times)
      versions[service].insert(version);
  }
  return versions;
}

}  // namespace

StreamRecorder::StreamRecorder(GatewayState* state, StreamRecordReader* reader)
    : state_(state),
      reader_(reader),
      client_(state, StoreKind::kStreams, kCallTimeout) {}

void StreamRecorder::Start() {
  asio::co_spawn(state_->io(), Run(), asio::detached);
}

asio::awaitable<void> StreamRecorder::Run() {
  asio::steady_timer timer(state_->io());
  RetryPause pause;
  Timestamp next_write{};
  for (bool is_last = false; !is_last;) {
    is_last = state_->leaving();
    const Timestamp now = state_->Now();
    const bool is_leader =
        leader_term_.IsFirm(state_->peers().IsZoneLeader(now), now);
    // A gateway that no longer leads the zone writes what is left.
    const bool may_write = is_leader || is_recorder_;
    const MixedServices mixed =
        may_write ? FindMixedServices(state_, now) : MixedServices();
    if (is_leader && !is_recorder_)
      BeginSlot(0, now);
    is_recorder_ = may_write;
    FollowEpoch(state_->store_restoration().epoch(), now);
    const bool is_due = is_last || now >= next_write;
    if (is_due && HasNews(mixed, now)) {
      const bool written = co_await Write(mixed);
      if (written)
        pause.Reset();
      next_write = written ? now + kWriteInterval
                           : state_->Now() + pause.Next(state_->random());
      is_recorder_ = is_leader || !written;
    } else if (is_due) {
      is_recorder_ = is_leader;
    }
    timer.expires_after(kCheckInterval);
    co_await timer.async_wait(kAsTuple);
  }
}

// The store may have lost what it has acknowledged. That includes a write whose
// response is the first to name the epoch: it may have been executed before.
void StreamRecorder::FollowEpoch(StoreEpoch epoch, Timestamp now) {
  const bool is_restored = IsOlderEpoch(epoch_, epoch);
  epoch_ = epoch;
  if (!is_restored)
    return;
  written_ = 0;
  written_versions_.clear();
  BeginSlot(0, now);
}

asio::awaitable<bool> StreamRecorder::FindFirstSlot() {
  has_first_slot_ = co_await reader_->Read(kAnyAge);
  if (!has_first_slot_)
    co_return false;
  const std::map<int, uint64_t>& written = reader_->own_slots();
  const auto written_at = [&](int slot) {
    const auto found = written.find(slot);
    return found == written.end() ? 0 : found->second;
  };
  slot_ = 0;
  for (int slot = 1; slot < kSlots; ++slot) {
    if (written_at(slot) < written_at(slot_))
      slot_ = slot;
  }
  co_return true;
}

bool StreamRecorder::HasNews(const MixedServices& mixed, Timestamp now) {
  if (mixed.empty()) {
    written_versions_.clear();
    return false;
  }
  UpdateSlot(mixed, now);
  return !is_slot_written_ || VersionsOf(mixed) != written_versions_ ||
         state_->stream_origins().HasLearnedAfter(written_, HashesOf(mixed));
}

void StreamRecorder::UpdateSlot(const MixedServices& mixed, Timestamp now) {
  const bool has_new_service =
      std::any_of(mixed.begin(), mixed.end(), [this](const auto& service) {
        return !written_versions_.contains(service.first);
      });
  // The streams of the service that this gateway already knew belong to no
  // slot.
  if (has_new_service)
    slot_after_ = 0;
  // When a slot is used again, the time of the others covers the retention.
  const Duration slot_time = state_->LongestStreamLifetime() / (kSlots - 1);
  if (now - slot_began_at_ >= slot_time)
    BeginSlot(has_new_service ? 0 : written_, now);
}

void StreamRecorder::BeginSlot(uint64_t after, Timestamp now) {
  slot_ = (slot_ + 1) % kSlots;
  slot_began_at_ = now;
  slot_after_ = after;
  is_slot_written_ = false;
}

asio::awaitable<bool> StreamRecorder::Write(const MixedServices& mixed) {
  if (!has_first_slot_) {
    const bool is_found = co_await FindFirstSlot();
    if (!is_found)
      co_return false;
  }
  const Content content = MakeContent(mixed, state_->Now());
  size_t bytes = 0;
  const int status = co_await Put(content, &bytes);
  LogWrite(content.record.streams.size(), bytes, status);
  if (IsSuccess(status)) {
    state_->metrics().OnStreamRecordWritten();
    is_slot_written_ = true;
    written_ = std::max(written_, content.learned);
    written_versions_ = content.versions;
    co_return true;
  }
  // The call may be executed later and then replaces what is written until
  // then. So the next write goes to another object and has everything.
  if (status == StoreClient::kNoResponse)
    BeginSlot(0, state_->Now());
  co_return false;
}

StreamRecorder::Content StreamRecorder::MakeContent(const MixedServices& mixed,
                                                    Timestamp now) const {
  Content content;
  const StreamOrigins& origins = state_->stream_origins();
  content.learned = origins.learned();
  content.versions = VersionsOf(mixed);
  content.record.written_at_ms = GatewayState::UnixMilliseconds();
  content.record.streams = origins.LearnedAfter(slot_after_, HashesOf(mixed),
                                                StreamRecord::kMaxStreams, now);
  for (const auto& [service, versions] : mixed) {
    for (const auto& [version, last_served_at] : versions) {
      content.record.served[service][version] =
          std::max(now - last_served_at, Duration::zero());
    }
  }
  return content;
}

asio::awaitable<int> StreamRecorder::Put(const Content& content,
                                         size_t* bytes) {
  StoreObject object;
  object.name = state_->settings().name() + "-" + std::to_string(slot_);
  object.content = EncodeStreamRecord(content.record);
  std::string body = state_->codec().EncodeObject(object);
  *bytes = body.size();
  co_return co_await client_.Put(object.name, std::move(body));
}

void StreamRecorder::LogWrite(size_t streams, size_t bytes, int status) {
  const Timestamp now = state_->Now();
  if (logged_at_ && now - *logged_at_ < kLogInterval)
    return;
  logged_at_ = now;
  LogLine line("streams-recorded");
  line.Add("count", streams).Add("bytes", bytes).Add("status", status);
  state_->log().Info(line);
}

}  // namespace teaselthread
