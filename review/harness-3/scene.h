#ifndef REVIEW_HARNESS_3_SCENE_H_
#define REVIEW_HARNESS_3_SCENE_H_

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "client.h"
#include "fleet.h"
#include "record.h"
#include "store.h"
#include "worker.h"

namespace review {

// Whether the rule was broken; the exit code of a case.
enum class Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

// A stream over all tries of its client.
struct ClientStream {
  std::string first_id;
  std::vector<AttemptAnswer> answers;
  bool is_complete = false;

  int last_event() const;
  // The versions whose events the client holds.
  std::set<std::string> versions() const;
};

// What every case works with: a store, workers, gateways and clients.
struct Scene {
  explicit Scene(const std::string& record_path);

  Worker& AddWorker(Worker::Options options);
  // Starts and registers it.
  Worker& StartWorker(Worker::Options options);
  void WriteConfiguration(double cold_start_s, double cold_per_s);
  asio::awaitable<void> Wait(milliseconds time) { return Sleep(io, time); }
  // Reads a stream at `first` and, if it breaks off or is refused, again at
  // another gateway, chosen at random, up to `retries` times.
  asio::awaitable<void> FollowStream(std::shared_ptr<ClientStream> stream,
                                     Attempt attempt,
                                     size_t first,
                                     int retries);
  // The index of any gateway but `not_this`.
  size_t OtherGateway(size_t not_this);
  std::string NewId() { return "request-" + std::to_string(++last_id); }

  asio::io_context io{1};
  Record record;
  Store store;
  Fleet fleet;
  std::vector<WorkerRun> runs;
  std::vector<std::unique_ptr<Worker>> workers;
  std::mt19937 random;
  uint64_t last_id = 0;
  // The variable TROUBLE: "0" leaves out all disruptions; "kill", in the cases
  // that say so, all but the kills of gateways.
  bool has_trouble = true;
  bool has_only_kills = false;
};

// Runs a case; `arguments` are those of main(). The first is the path of the
// record. Returns the exit code.
int RunCase(int argc,
            char** argv,
            const std::function<asio::awaitable<Verdict>(Scene&)>& play);

}  // namespace review

#endif  // REVIEW_HARNESS_3_SCENE_H_
