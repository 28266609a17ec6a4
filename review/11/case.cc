// A gateway is frozen for 3.5 s. Meanwhile three workers of another version
// join, begin streams at the other gateways and deregister. When they exit,
// clients take their streams up again.
#include <csignal>

#include "../harness-3/scene.h"

namespace review {
namespace {

constexpr size_t kFrozen = 6;  // the only gateway of its zone
constexpr size_t kOlderWorkers = 12;
constexpr size_t kNewerWorkers = 3;
constexpr size_t kStreams = 180;
constexpr size_t kMaxMixedStreams = 2;  // that the rule allows
constexpr int kRetries = 2;
// Longer than twice the route's timeout, for which a gateway remembers which
// versions have served.
constexpr milliseconds kWarmUp(25'500);

Worker::Options MakeOptions(const std::string& version, size_t number) {
  const char* zones[] = {"palermo", "catania", "agrigento"};
  Worker::Options options;
  options.id = version + "-worker-" + std::to_string(number);
  options.zone = zones[number % 3];
  options.version = version;
  options.events = 60;
  options.event_gap = milliseconds(150);
  return options;
}

asio::awaitable<Verdict> Play(Scene& scene) {
  scene.WriteConfiguration(0, 0);
  for (size_t i = 0; i < kOlderWorkers; ++i)
    scene.StartWorker(MakeOptions("v1", i));
  scene.fleet.Start({"palermo", "palermo", "palermo", "catania", "catania",
                     "catania", "agrigento"});
  const bool is_ready = co_await scene.fleet.AwaitReady();
  if (!is_ready)
    co_return Verdict::kNotRun;
  scene.StartClients();
  co_await scene.Wait(kWarmUp);

  if (scene.has_trouble)
    scene.fleet.Signal(kFrozen, SIGSTOP);
  const auto frozen_at = SteadyClock::now();
  co_await scene.Wait(milliseconds(550));
  std::vector<Worker*> newer;
  for (size_t i = 0; i < kNewerWorkers; ++i) {
    newer.push_back(&scene.StartWorker(MakeOptions("v2", i)));
    co_await scene.Wait(milliseconds(100));
  }
  const ZoneAddresses& clients = *scene.addresses.back();  // of agrigento
  std::vector<std::shared_ptr<ClientStream>> streams;
  for (size_t i = 0; i < kStreams; ++i) {
    streams.push_back(std::make_shared<ClientStream>());
    Attempt attempt;
    attempt.parts =
        "a" + std::to_string(i) + ":800,b" + std::to_string(i) + ":410";
    asio::co_spawn(
        scene.io,
        scene.FollowStream(streams.back(), attempt, clients, kRetries),
        asio::detached);
    co_await scene.Wait(milliseconds(13));
  }
  for (Worker* worker : newer)
    worker->Deregister();
  asio::steady_timer wake(scene.io, frozen_at + milliseconds(3'500));
  co_await wake.async_wait(kAsTuple);
  if (scene.has_trouble)
    scene.fleet.Signal(kFrozen, SIGCONT);
  co_await scene.Wait(milliseconds(3'000));
  for (Worker* worker : newer)
    worker->Crash();
  co_await scene.Wait(milliseconds(7'000));

  scene.fleet.CopyLogLines({"stream-resumed"});
  size_t begun_at_newer = 0;
  size_t mixed = 0;
  for (const auto& stream : streams) {
    const std::set<std::string> versions = stream->versions();
    begun_at_newer += versions.contains("v2") ? 1 : 0;
    mixed += versions.size() > 1 ? 1 : 0;
    if (versions.size() > 1)
      scene.record.Line("mixed: stream of " + stream->first_id);
  }
  scene.record.Line(
      "streams with events of v2: " + std::to_string(begun_at_newer) +
      ", of two versions: " + std::to_string(mixed));
  if (begun_at_newer <= kMaxMixedStreams)
    co_return Verdict::kNotRun;
  co_return mixed > kMaxMixedStreams ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
