#include "scene.h"

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <utility>

namespace review {
namespace {

constexpr int kOk = 200;
// Clients wait as told for up to a third of the time that they have left.
constexpr int kMaxWaitShare = 3;

milliseconds RetryAfter(const AttemptAnswer& answer) {
  return milliseconds(
      static_cast<int64_t>(std::atof(answer.retry_after.c_str()) * 1'000));
}

uint32_t Seed() {
  const char* seed = std::getenv("SEED");
  return seed ? static_cast<uint32_t>(std::strtoul(seed, nullptr, 10))
              : std::random_device()();
}

std::string Trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble ? trouble : "";
}

}  // namespace

int ClientStream::last_event() const {
  int last = 0;
  for (const AttemptAnswer& answer : answers) {
    if (!answer.events.empty())
      last = std::max(last, answer.events.back().first);
  }
  return last;
}

std::set<std::string> ClientStream::versions() const {
  std::set<std::string> versions;
  for (const AttemptAnswer& answer : answers) {
    for (const auto& [id, version] : answer.events)
      versions.insert(version);
  }
  return versions;
}

Scene::Scene(const std::string& record_path)
    : record(record_path),
      store(&io, &record),
      fleet(&io, &record, &store),
      random(Seed()),
      has_trouble(Trouble() != "0"),
      has_only_kills(Trouble() == "kill") {}

Worker& Scene::AddWorker(Worker::Options options) {
  workers.push_back(std::make_unique<Worker>(&io, &record, &store, &runs,
                                             std::move(options)));
  return *workers.back();
}

Worker& Scene::StartWorker(Worker::Options options) {
  Worker& worker = AddWorker(std::move(options));
  worker.Start();
  worker.Register();
  return worker;
}

void Scene::WriteConfiguration(double cold_start_s, double cold_per_s) {
  const boost::json::value configuration =
      boost::json::parse(MakeConfiguration(cold_start_s, cold_per_s));
  store.Put("config", "main", configuration.as_object());
}

void Scene::StartClients() {
  for (const char* zone : {"palermo", "catania", "agrigento"}) {
    addresses.push_back(std::make_unique<ZoneAddresses>(&io, &fleet, zone));
    addresses.back()->Start();
  }
}

asio::awaitable<void> Scene::FollowStream(std::shared_ptr<ClientStream> stream,
                                          Attempt attempt,
                                          const ZoneAddresses& addresses,
                                          int retries,
                                          milliseconds pause) {
  const auto deadline = SteadyClock::now() + attempt.time_left;
  std::set<uint16_t> failed;
  std::string begun_by;
  for (int tries = 0; tries <= retries && !stream->is_complete; ++tries) {
    attempt.id = NewId();
    attempt.time_left =
        std::chrono::duration_cast<milliseconds>(deadline - SteadyClock::now());
    if (attempt.time_left <= milliseconds(0))
      co_return;
    attempt.last_event = stream->last_event();
    attempt.resumes = begun_by;
    if (stream->first_id.empty())
      stream->first_id = attempt.id;
    const uint16_t port = addresses.Pick(failed, &random);
    AttemptAnswer answer = co_await Send(io, record, port, attempt);
    stream->is_complete = answer.status == kOk && answer.is_complete;
    if (begun_by.empty() && !answer.events.empty())
      begun_by = attempt.id;
    const auto time_left =
        std::chrono::duration_cast<milliseconds>(deadline - SteadyClock::now());
    milliseconds wait = pause;
    if (answer.is_complete)
      wait = std::min(RetryAfter(answer), time_left / kMaxWaitShare);
    failed.insert(port);
    stream->answers.push_back(std::move(answer));
    co_await Wait(wait);
  }
}

int RunCase(int argc,
            char** argv,
            const std::function<asio::awaitable<Verdict>(Scene&)>& play) {
  if (argc < 2) {
    std::cerr << "usage: " << argv[0] << " RECORD\n";
    return static_cast<int>(Verdict::kNotRun);
  }
  std::optional<Verdict> verdict;
  try {
    Scene scene(argv[1]);
    asio::co_spawn(scene.io, play(scene),
                   [&](const std::exception_ptr& failure, Verdict result) {
                     verdict = failure ? Verdict::kNotRun : result;
                     scene.io.stop();
                   });
    scene.io.run();
    scene.record.Line("exit code " +
                      std::to_string(static_cast<int>(*verdict)));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return static_cast<int>(Verdict::kNotRun);
  }
  return static_cast<int>(*verdict);
}

}  // namespace review
