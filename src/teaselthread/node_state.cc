#include "teaselthread/node_state.h"

#include <algorithm>

#include "libteaselthread/requests/request_filters.h"

namespace teaselthread {
namespace {

template <typename Clock>
Duration SinceEpoch() {
  return std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch());
}

std::vector<std::string> SeedAddresses(const Settings& settings) {
  std::vector<std::string> addresses;
  for (const SocketAddress& seed : settings.seeds())
    addresses.push_back(seed.ToString());
  return addresses;
}

// The wall-clock time in microseconds at Timestamp zero.
uint64_t SequenceOrigin() {
  return static_cast<uint64_t>((SinceEpoch<std::chrono::system_clock>() -
                                SinceEpoch<std::chrono::steady_clock>())
                                   .count());
}

AdmissionTiming MakeAdmissionTiming(const TimingSettings& timing) {
  return {timing.fence_timeout, timing.endpoint_poll};
}

}  // namespace

NodeState::NodeState(asio::io_context* io, Settings settings)
    : io_(io),
      settings_(std::move(settings)),
      random_(std::random_device()()),
      membership_(MakeSelf(),
                  SeedAddresses(settings_),
                  {settings_.timing().suspicion_timeout,
                   settings_.timing().fence_timeout},
                  random_()),
      admission_(fleet(),
                 &loads_,
                 MakeAdmissionTiming(settings_.timing()),
                 SequenceOrigin()),
      idempotency_(membership_.self().incarnation, settings_.idempotency()),
      filters_(MakeEntryChain(fleet())),
      router_(fleet()) {}

Member NodeState::MakeSelf() {
  std::random_device entropy;
  const uint64_t high = entropy();
  Member self;
  self.name = settings_.name();
  self.incarnation = Incarnation((high << 32) | entropy());
  self.zone = settings_.zone();
  self.peer_address = settings_.peer_listen().ToString();
  self.caller_address = settings_.caller_listen().ToString();
  self.generation =
      static_cast<uint64_t>(SinceEpoch<std::chrono::system_clock>().count());
  return self;
}

Timestamp NodeState::Now() const {
  return Timestamp(SinceEpoch<std::chrono::steady_clock>());
}

WallSeconds NodeState::Wall() const {
  return std::chrono::duration_cast<WallSeconds>(
      SinceEpoch<std::chrono::system_clock>());
}

std::chrono::steady_clock::time_point NodeState::ToSteady(Timestamp time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

std::string NodeState::NotReadyReason() const {
  if (leaving())
    return "leaving";
  if (!configuration_.current())
    return "no configuration yet";
  if (directory_.all().empty())
    return "no list of endpoints yet";
  if (!membership_.InGoodStanding(Now()))
    return "too few peers in contact";
  return {};
}

Gauges NodeState::CurrentGauges() const {
  Gauges gauges;
  gauges.configuration_version = configuration_.version();
  gauges.members_serving = membership_.serving().size();
  gauges.endpoints_owned = admission_.OwnedEndpoints().size();
  gauges.endpoints_admitting = admission_.AdmittingCount();
  gauges.calls_running = admission_.RunningTotal();
  gauges.idempotency_keys = idempotency_.key_count();
  gauges.kept_answer_bytes = idempotency_.stored_response_bytes();
  gauges.in_good_standing = membership_.InGoodStanding(Now());
  gauges.ready = NotReadyReason().empty();
  return gauges;
}

}  // namespace teaselthread
