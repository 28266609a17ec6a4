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
constexpr int kRetries = 5;
constexpr milliseconds kRetryPause(500);
// Longer than a route's timeout and 2 s.
constexpr milliseconds kWarmUp(16'000);

Worker::Options MakeOptions(const std::string& version, int number) {
  const char* zones[] = {"palermo", "catania", "agrigento"};
  Worker::Options options;
  options.id = version + "-worker-" + std::to_string(number);
  options.zone = zones[number % 3];
  options.version = version;
  options.events = 60;
  options.event_gap = milliseconds(150);
  return options;
}

// A client whose stream was broken off takes it up at any gateway.
asio::awaitable<void> Follow(Scene& scene,
                             std::shared_ptr<ClientStream> stream,
                             size_t first,
                             std::string parts) {
  const auto deadline = SteadyClock::now() + milliseconds(12'000);
  size_t gateway = first;
  Attempt attempt;
  attempt.parts = std::move(parts);
  for (int tries = 0; tries <= kRetries && !stream->is_complete; ++tries) {
    attempt.id = scene.NewId();
    attempt.time_left =
        std::chrono::duration_cast<milliseconds>(deadline - SteadyClock::now());
    if (attempt.time_left <= milliseconds(0))
      co_return;
    if (stream->first_id.empty())
      stream->first_id = attempt.id;
    else
      attempt.resumes = stream->first_id;
    attempt.last_event = stream->last_event();
    AttemptAnswer answer = co_await Send(
        scene.io, scene.record, scene.fleet.node(gateway).front, attempt);
    stream->is_complete = answer.status == 200 && answer.is_complete;
    stream->answers.push_back(std::move(answer));
    co_await scene.Wait(kRetryPause);
    gateway = scene.OtherGateway(gateway);
  }
}

asio::awaitable<Verdict> Play(Scene& scene) {
  scene.WriteConfiguration(3, 10);
  for (int i = 0; i < 4; ++i)
    scene.StartWorker(MakeOptions("v1", i));
  scene.fleet.Start({"palermo", "palermo", "catania", "catania", "agrigento"});
  const bool is_ready = co_await scene.fleet.AwaitReady();
  if (!is_ready)
    co_return Verdict::kNotRun;
  co_await scene.Wait(kWarmUp);

  scene.store.TakeCopy();
  co_await scene.Wait(milliseconds(300));
  std::vector<Worker*> newer;
  for (int i = 0; i < 3; ++i)
    newer.push_back(&scene.StartWorker(MakeOptions("v2", i)));
  co_await scene.Wait(milliseconds(500));
  std::vector<std::shared_ptr<ClientStream>> streams;
  for (size_t i = 0; i < kStreams; ++i) {
    streams.push_back(std::make_shared<ClientStream>());
    const std::string number = std::to_string(i);
    asio::co_spawn(scene.io,
                   Follow(scene, streams.back(), i % kNodes,
                          "a" + number + ":800,b" + number + ":410"),
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
