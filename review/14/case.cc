// The store is away for a moment and comes back from a copy some seconds old.
// The records of the streams that began since then are lost. Some seconds later
// the machines at which these streams run are killed, and clients take them up
// at the others.
#include <csignal>

#include "../harness-3/scene.h"

namespace review {
namespace {

constexpr size_t kStreams = 24;
constexpr size_t kMinStreams = 12;  // that the rule counts
constexpr int kRetries = 3;
constexpr size_t kLostZoneNodes = 2;  // the gateways of the first zone
constexpr size_t kNodes = 5;

Worker::Options MakeOptions(const std::string& version, int number) {
  const char* zones[] = {"palermo", "catania", "agrigento"};
  Worker::Options options;
  options.id = version + "-worker-" + std::to_string(number);
  options.zone = zones[number % 3];
  options.version = version;
  options.events = 70;
  options.event_gap = milliseconds(150);
  return options;
}

// One attempt of a stream at a gateway that lives.
size_t Survivor(Scene& scene, size_t not_this) {
  std::uniform_int_distribution<size_t> choose(kLostZoneNodes, kNodes - 1);
  size_t index = choose(scene.random);
  while (index == not_this)
    index = choose(scene.random);
  return index;
}

// A client as in Scene::FollowStream that takes its stream up at survivors.
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
    const double pause_s = std::atof(answer.retry_after.c_str());
    stream->answers.push_back(std::move(answer));
    if (pause_s > 0)
      co_await scene.Wait(milliseconds(static_cast<int64_t>(pause_s * 1'000)));
    gateway = Survivor(scene, gateway);
  }
}

asio::awaitable<Verdict> Play(Scene& scene) {
  scene.WriteConfiguration(3, 10);
  for (int i = 0; i < 6; ++i)
    scene.StartWorker(MakeOptions(i % 2 == 0 ? "v1" : "v2", i));
  scene.fleet.Start({"palermo", "palermo", "catania", "catania", "agrigento"});
  const bool is_ready = co_await scene.fleet.AwaitReady();
  if (!is_ready)
    co_return Verdict::kNotRun;
  co_await scene.Wait(milliseconds(8'000));

  scene.store.TakeCopy();
  co_await scene.Wait(milliseconds(300));
  std::vector<std::shared_ptr<ClientStream>> streams;
  for (size_t i = 0; i < kStreams; ++i) {
    streams.push_back(std::make_shared<ClientStream>());
    const std::string number = std::to_string(i);
    asio::co_spawn(scene.io,
                   Follow(scene, streams.back(), i % kLostZoneNodes,
                          "a" + number + ":800,b" + number + ":410"),
                   asio::detached);
    co_await scene.Wait(milliseconds(60));
  }
  co_await scene.Wait(milliseconds(1'000));
  if (scene.has_trouble && !scene.has_only_kills) {
    scene.store.SetBusy(true);
    co_await scene.Wait(milliseconds(500));
    scene.store.Restore();
    scene.store.SetBusy(false);
  } else {
    co_await scene.Wait(milliseconds(500));
  }
  // Longer than contact_ms, so that the store is stable again.
  co_await scene.Wait(milliseconds(3'500));
  for (size_t node = 0; scene.has_trouble && node < kLostZoneNodes; ++node)
    scene.fleet.Kill(node);
  co_await scene.Wait(milliseconds(6'000));

  scene.fleet.CopyLogLines({"stream-resumed", "store-restored"});
  size_t begun = 0;
  size_t taken_up = 0;
  size_t went_on = 0;
  for (const auto& stream : streams) {
    const bool has_begun =
        !stream->answers.empty() && !stream->answers[0].events.empty();
    begun += has_begun ? 1 : 0;
    if (!has_begun || stream->answers.size() < 2)
      continue;
    ++taken_up;
    size_t later_events = 0;
    for (size_t i = 1; i < stream->answers.size(); ++i)
      later_events += stream->answers[i].events.size();
    went_on += later_events > 0 ? 1 : 0;
  }
  scene.record.Line("streams begun: " + std::to_string(begun) + " of " +
                    std::to_string(kStreams) +
                    ", taken up: " + std::to_string(taken_up) +
                    ", went on: " + std::to_string(went_on));
  if (!scene.has_trouble)
    co_return taken_up == 0 ? Verdict::kHeld : Verdict::kNotRun;
  if (taken_up < kMinStreams)
    co_return Verdict::kNotRun;
  // Shares: went_on / taken_up under half of begun / kStreams.
  const bool is_broken = 2 * went_on * kStreams < begun * taken_up;
  co_return is_broken ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
