#ifndef REVIEW_HARNESS_3_SCENE_H_
#define REVIEW_HARNESS_3_SCENE_H_

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "addresses.h"
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
  // Addresses for the clients of each of the three zones.
  void StartClients();
  // Reads a stream at one of the addresses and, if it breaks off or is refused,
  // again at another one, up to `retries` times; `pause` after it broke off.
  asio::awaitable<void> FollowStream(std::shared_ptr<ClientStream> stream,
                                     Attempt attempt,
                                     const ZoneAddresses& addresses,
                                     int retries,
                                     milliseconds pause = milliseconds(0));
  std::string NewId() { return "request-" + std::to_string(++last_id); }

  asio::io_context io{1};
  Record record;
  Store store;
  Fleet fleet;
  std::vector<WorkerRun> runs;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<ZoneAddresses>> addresses;
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
