// Requests with a part that crashes workers come every few seconds. All
// gateways are killed at the same moment, twice, and start again.
#include <algorithm>
#include <csignal>

#include "../harness-3/scene.h"

namespace review {
namespace {

constexpr char kPart[] = "bad1";
constexpr milliseconds kContact(3'000);  // contact_ms
constexpr size_t kCrashes = 5;
constexpr size_t kMaxRequests = 3;  // later than contact_ms after the fifth
constexpr milliseconds kPartInterval(3'500);
constexpr milliseconds kSoundInterval(300);
constexpr milliseconds kRestart(3'000);  // of a crashed worker
constexpr milliseconds kDown(1'000);     // of a killed gateway
constexpr milliseconds kLength(58'000);
const std::vector<milliseconds> kHerdKills = {milliseconds(16'600),
                                              milliseconds(34'100)};

Worker::Options MakeOptions(int number) {
  const char* zones[] = {"palermo", "catania", "agrigento"};
  Worker::Options options;
  options.id = "worker-" + std::to_string(number);
  options.zone = zones[number % 3];
  options.events = 10;
  options.event_gap = milliseconds(150);
  options.crashing_part = kPart;
  return options;
}

struct Play {
  explicit Play(Scene* of) : scene(*of) {}

  void Start(Worker::Options options) {
    Worker& worker = scene.AddWorker(options);
    worker.set_on_crashed([this, options] {
      asio::co_spawn(scene.io, Replace(options), asio::detached);
    });
    worker.Start();
    worker.Register();
  }
  // The worker is back under a new id.
  asio::awaitable<void> Replace(Worker::Options options) {
    co_await scene.Wait(kRestart);
    options.id = "worker-" + std::to_string(++last_worker);
    Start(options);
  }
  size_t AnyGateway() {
    return std::uniform_int_distribution<size_t>(
        0, scene.fleet.nodes().size() - 1)(scene.random);
  }
  asio::awaitable<void> SendParts() {
    while (!has_ended) {
      Attempt attempt;
      attempt.id = scene.NewId();
      attempt.parts =
          "sys:500," + std::string(kPart) + ":800,own-" + attempt.id + ":200";
      asio::co_spawn(scene.io,
                     Send(scene.io, scene.record,
                          scene.fleet.node(AnyGateway()).front, attempt),
                     asio::detached);
      co_await scene.Wait(kPartInterval);
    }
  }
  asio::awaitable<void> SendSound() {
    while (!has_ended) {
      Attempt attempt;
      attempt.id = scene.NewId();
      attempt.parts = "sys:500,own-" + attempt.id + ":200";
      asio::co_spawn(scene.io,
                     Send(scene.io, scene.record,
                          scene.fleet.node(AnyGateway()).front, attempt),
                     asio::detached);
      co_await scene.Wait(kSoundInterval);
    }
  }
  asio::awaitable<void> HerdKill() {
    for (size_t i = 0; i < scene.fleet.nodes().size(); ++i)
      scene.fleet.Kill(i);
    co_await scene.Wait(kDown);
    for (size_t i = 0; i < scene.fleet.nodes().size(); ++i)
      scene.fleet.Launch(i);
    started_at.push_back(scene.record.NowMs());
  }
  // Whether all gateways had run for contact_ms at that time.
  bool WasInTouch(int64_t at_ms) const {
    return std::none_of(started_at.begin(), started_at.end(), [&](int64_t at) {
      return at_ms >= at - kDown.count() && at_ms < at + kContact.count();
    });
  }
  Verdict Judge() {
    std::vector<int64_t> crashes;
    for (const WorkerRun& run : scene.runs) {
      if (run.has_crashed)
        crashes.push_back(run.at_ms);
    }
    size_t late = 0;
    for (size_t i = kCrashes; i < crashes.size(); ++i) {
      const bool is_late =
          crashes[i] > crashes[kCrashes - 1] + kContact.count();
      late += is_late && WasInTouch(crashes[i]) ? 1 : 0;
    }
    scene.record.Line("crashes: " + std::to_string(crashes.size()) +
                      ", requests by machines in touch later than contact_ms "
                      "after the fifth: " +
                      std::to_string(late));
    return late > kMaxRequests ? Verdict::kBroken : Verdict::kHeld;
  }
  asio::awaitable<Verdict> Run() {
    scene.WriteConfiguration(0, 0);
    for (int i = 0; i < 9; ++i)
      Start(MakeOptions(++last_worker));
    scene.fleet.Start({"palermo", "palermo", "palermo", "catania", "catania",
                       "agrigento", "agrigento"});
    const bool is_ready = co_await scene.fleet.AwaitReady();
    if (!is_ready)
      co_return Verdict::kNotRun;
    co_await scene.Wait(milliseconds(5'000));
    asio::co_spawn(scene.io, SendSound(), asio::detached);
    co_await scene.Wait(milliseconds(1'000));
    asio::co_spawn(scene.io, SendParts(), asio::detached);
    const auto began_at = SteadyClock::now();
    for (const milliseconds at : kHerdKills) {
      asio::steady_timer timer(scene.io, began_at + at);
      co_await timer.async_wait(kAsTuple);
      if (scene.has_trouble)
        co_await HerdKill();
    }
    asio::steady_timer timer(scene.io, began_at + kLength);
    co_await timer.async_wait(kAsTuple);
    has_ended = true;
    scene.fleet.CopyLogLines({"part-tried", "parts-suspected", "part-refused"});
    co_return Judge();
  }

  Scene& scene;
  int last_worker = 0;
  bool has_ended = false;
  std::vector<int64_t> started_at;  // of the gateways, after a kill
};

asio::awaitable<Verdict> RunPlay(Scene& scene) {
  Play play(&scene);
  const Verdict verdict = co_await play.Run();
  co_return verdict;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::RunPlay);
}
