// A key is taken away, and all gateways refuse it. The store is away for a
// moment and comes back from a copy some seconds old, in which the key is still
// there. A gateway that is killed meanwhile starts again before the operator's
// configuration is written again.
#include <csignal>

#include "../harness-3/scene.h"

namespace review {
namespace {

namespace json = boost::json;

constexpr size_t kKilled = 4;
constexpr int64_t kRevokeMs = 5'000;  // revoke_ms
constexpr milliseconds kInterval(40);
constexpr char kTakenKey[] = "key-2";

void WriteConfiguration(Scene& scene, uint64_t version, bool has_key) {
  json::object configuration = json::parse(MakeConfiguration(0, 0)).as_object();
  configuration["version"] = version;
  json::array keys{"key-1"};
  if (has_key)
    keys.push_back(kTakenKey);
  configuration["tenants"].as_array()[0].as_object()["api_keys"] =
      std::move(keys);
  scene.store.Put("config", "main", std::move(configuration));
}

struct Sent {
  std::string id;
  int64_t at_ms = 0;
  size_t gateway = 0;
};

// A client that goes on using a key.
asio::awaitable<void> SendAll(Scene& scene,
                              std::string key,
                              std::vector<Sent>* sent,
                              const bool* has_ended) {
  for (size_t i = 0; !*has_ended; ++i) {
    const size_t gateway = i % scene.fleet.nodes().size();
    Attempt attempt;
    attempt.id = scene.NewId();
    attempt.path = "/list/1";
    attempt.key = key;
    attempt.time_left = milliseconds(1'500);
    sent->push_back({attempt.id, scene.record.NowMs(), gateway});
    asio::co_spawn(
        scene.io,
        Send(scene.io, scene.record, scene.fleet.node(gateway).front, attempt),
        asio::detached);
    co_await scene.Wait(kInterval);
  }
}

asio::awaitable<Verdict> Play(Scene& scene) {
  WriteConfiguration(scene, 7, true);
  for (int i = 0; i < 3; ++i) {
    Worker::Options options;
    options.id = "desk-" + std::to_string(i);
    options.service = "desk";
    options.slots = 6;
    scene.StartWorker(options);
  }
  scene.fleet.Start({"palermo", "palermo", "catania", "catania", "agrigento"});
  const bool is_ready = co_await scene.fleet.AwaitReady();
  if (!is_ready)
    co_return Verdict::kNotRun;
  co_await scene.Wait(milliseconds(5'000));

  bool has_ended = false;
  std::vector<Sent> sent;
  std::vector<Sent> sound;
  asio::co_spawn(scene.io, SendAll(scene, kTakenKey, &sent, &has_ended),
                 asio::detached);
  asio::co_spawn(scene.io, SendAll(scene, "key-1", &sound, &has_ended),
                 asio::detached);
  co_await scene.Wait(milliseconds(1'000));
  scene.store.TakeCopy();
  co_await scene.Wait(milliseconds(300));
  WriteConfiguration(scene, 8, false);
  const int64_t taken_at_ms = scene.record.NowMs();
  co_await scene.Wait(milliseconds(4'200));
  if (scene.has_trouble) {
    scene.fleet.Kill(kKilled);
    if (!scene.has_only_kills)
      scene.store.SetBusy(true);
  }
  co_await scene.Wait(milliseconds(500));
  if (scene.has_trouble && !scene.has_only_kills) {
    scene.store.Restore();
    scene.store.SetBusy(false);
  }
  co_await scene.Wait(milliseconds(200));
  if (scene.has_trouble)
    scene.fleet.Launch(kKilled);
  co_await scene.Wait(milliseconds(1'000));
  // What the operator wrote is written again.
  WriteConfiguration(scene, 8, false);
  co_await scene.Wait(milliseconds(3'000));
  has_ended = true;
  co_await scene.Wait(milliseconds(2'000));

  scene.fleet.CopyLogLines({"configuration-taken", "store-restored"});
  std::set<std::string> run;
  for (const WorkerRun& of : scene.runs)
    run.insert(of.request_id);
  size_t begun = 0;
  size_t late = 0;
  for (const Sent& request : sent) {
    begun += run.contains(request.id) ? 1 : 0;
    if (request.at_ms <= taken_at_ms + kRevokeMs || !run.contains(request.id))
      continue;
    ++late;
    scene.record.Line("ran with the key that was taken away: " + request.id +
                      ", sent " + std::to_string(request.at_ms - taken_at_ms) +
                      " ms after the acknowledgement to " +
                      scene.fleet.node(request.gateway).name);
  }
  scene.record.Line(
      "requests that ran with the key: " + std::to_string(begun) +
      ", of these sent later than revoke_ms: " + std::to_string(late));
  if (begun == 0)
    co_return Verdict::kNotRun;
  co_return late > 0 ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
