#include "teaselthread/streams/stream_reporter.h"

#include <algorithm>

#include "teaselthread/streams/stream_services.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr Duration kSendInterval = milliseconds(50);
constexpr Duration kForgetInterval = milliseconds(1'000);
// The zone leader and its deputy.
constexpr size_t kRecorders = 2;
// Of one service. With two recorders, this limits the reports to about 4 KB/s.
constexpr size_t kMaxBatchStreams = 4;
// What was sent to former recorders may not have been written within this time.
constexpr Duration kUnwrittenTime = milliseconds(3'000);

}  // namespace

void StreamReporter::Start() {
  heartbeat_->set_on_streams(
      [this](const std::vector<StreamOrigin>& streams) { OnStreams(streams); });
  state_->timers().Subscribe(kSendInterval, state_->Now(),
                             [this](Timestamp now) { Send(now); });
  state_->timers().Subscribe(
      kForgetInterval, state_->Now(), [this](Timestamp now) {
        state_->stream_origins().ForgetBefore(now -
                                              state_->LongestStreamLifetime());
      });
}

void StreamReporter::Send(Timestamp now) {
  StreamOrigins& origins = state_->stream_origins();
  const MixedServices mixed = FindMixedServices(state_, now);
  if (mixed.empty())
    return;
  std::vector<SocketAddress> recorders = Recorders(now);
  const bool has_new_recorder = std::any_of(
      recorders.begin(), recorders.end(), [this](const SocketAddress& address) {
        return std::find(recorders_.begin(), recorders_.end(), address) ==
               recorders_.end();
      });
  if (has_new_recorder)
    origins.SendAgain(now - kUnwrittenTime);
  recorders_ = std::move(recorders);
  if (recorders_.empty())
    return;
  for (const auto& [service, versions] : mixed) {
    const std::vector<StreamOrigin> batch =
        origins.TakeToSend(service, kMaxBatchStreams, now);
    if (batch.empty())
      continue;
    state_->metrics().OnStreamReportsSent(
        heartbeat_->SendStreams(batch, recorders_));
  }
}

void StreamReporter::OnStreams(const std::vector<StreamOrigin>& streams) {
  const Timestamp now = state_->Now();
  for (const StreamOrigin& stream : streams)
    state_->stream_origins().OnReported(stream, now);
}

std::vector<SocketAddress> StreamReporter::Recorders(Timestamp now) const {
  const Peer& self = state_->peers().self();
  std::vector<Peer> serving = state_->peers().ServingFor(self.zone, now);
  std::erase_if(serving,
                [&](const Peer& peer) { return peer.zone != self.zone; });
  // Without gateways that serve, as during an outage of the store, the first
  // one of all is the zone leader.
  if (serving.empty())
    return state_->peers().FirstOfZone(kRecorders, now);
  std::sort(serving.begin(), serving.end());
  serving.resize(std::min(kRecorders, serving.size()));
  std::vector<SocketAddress> addresses;
  for (const Peer& peer : serving) {
    if (peer.name != self.name)
      addresses.push_back(peer.peer_address);
  }
  return addresses;
}

}  // namespace teaselthread
