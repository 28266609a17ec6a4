// The store is away for a moment and comes back from a copy some seconds old,
// which lacks the workers of a newer version that have joined since. All
// gateways are killed at the same moment. Clients take their streams up again
// before the workers have registered again.
#include <csignal>

#include "../harness-3/scene.h"

namespace review {
namespace {

constexpr size_t kNodes = 5;
constexpr size_t kStreams = 48;
constexpr size_t kMaxMixedStreams = 2;  // that the rule allows
constexpr size_t kOlderWorkers = 12;
constexpr size_t kNewerWorkers = 3;
constexpr int kRetries = 1;
constexpr milliseconds kRetryPause(1'500);
// Longer than a route's timeout and 2 s.
constexpr milliseconds kWarmUp(16'000);

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
  scene.WriteConfiguration(3, 10);
  for (size_t i = 0; i < kOlderWorkers; ++i)
    scene.StartWorker(MakeOptions("v1", i));
  scene.fleet.Start({"palermo", "palermo", "catania", "catania", "agrigento"});
  const bool is_ready = co_await scene.fleet.AwaitReady();
  if (!is_ready)
    co_return Verdict::kNotRun;
  scene.StartClients();
  co_await scene.Wait(kWarmUp);

  scene.store.TakeCopy();
  co_await scene.Wait(milliseconds(300));
  std::vector<Worker*> newer;
  for (size_t i = 0; i < kNewerWorkers; ++i)
    newer.push_back(&scene.StartWorker(MakeOptions("v2", i)));
  co_await scene.Wait(milliseconds(500));
  std::vector<std::shared_ptr<ClientStream>> streams;
  for (size_t i = 0; i < kStreams; ++i) {
    streams.push_back(std::make_shared<ClientStream>());
    Attempt attempt;
    attempt.parts =
        "a" + std::to_string(i) + ":800,b" + std::to_string(i) + ":410";
    asio::co_spawn(
        scene.io,
        scene.FollowStream(streams.back(), attempt,
                           *scene.addresses[i % scene.addresses.size()],
                           kRetries, kRetryPause),
        asio::detached);
    co_await scene.Wait(milliseconds(25));
  }
  co_await scene.Wait(milliseconds(1'000));
  const bool has_drill = scene.has_trouble && !scene.has_only_kills;
  if (has_drill)
    scene.store.SetBusy(true);
  for (size_t node = 0; scene.has_trouble && node < kNodes; ++node)
    scene.fleet.Kill(node);
  co_await scene.Wait(milliseconds(500));
  if (has_drill) {
    scene.store.Restore();
    scene.store.SetBusy(false);
  }
  co_await scene.Wait(milliseconds(200));
  for (size_t node = 0; scene.has_trouble && node < kNodes; ++node)
    scene.fleet.Launch(node);
  co_await scene.Wait(milliseconds(1'800));
  for (Worker* worker : newer)
    worker->Register();
  co_await scene.Wait(milliseconds(9'000));

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
