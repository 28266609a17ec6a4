#ifndef REVIEW_HARNESS_2_DEPLOYMENT_H_
#define REVIEW_HARNESS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// The deployment's limits on a machine, as in the sheet of Trinacria.
inline constexpr int kMachineMemoryMb = 260;
inline constexpr int kMachineDescriptors = 4'100;

// Writes lines with the time since the start of the case to record.txt. Safe to
// use from any thread.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point started_at_ = Clock::now();
};

// A child process that is killed with this object.
class Process {
 public:
  // Runs the program, with at most `descriptors` open descriptors (0: as many
  // as this process). Its output goes to `log`.
  Process(const std::vector<std::string>& words,
          const std::string& log,
          int descriptors);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Kills the process and waits for its end.
  void Kill();
  // Whether the process has not ended.
  bool IsRunning();
  // The memory in use, in MB.
  double ResidentMb() const;

 private:
  pid_t pid_ = -1;
  bool has_ended_ = false;
};

// Which requests a route takes.
struct RouteSpec {
  std::string name;  // its path prefix is /NAME/
  std::string kind;  // as in the configuration
  std::string service;
  int timeout_ms = 0;
  bool is_resumable = false;
  int max_attempts = 1;
};

struct ServiceSpec {
  std::string name;
  bool is_engine = false;
};

inline constexpr char kHost[] = "desk.example";
inline constexpr char kOfficeKey[] = "office-key";

// One gateway process before a stand-in of the platform's store.
class Deployment {
 public:
  // `folder`: a temporary one for the settings and the log.
  Deployment(std::string folder, Record* record);

  // Writes the configuration, with one tenant, to the store.
  void Configure(const std::vector<ServiceSpec>& services,
                 const std::vector<RouteSpec>& routes);
  // Writes a worker's entry to the store.
  void Register(const std::string& id,
                const std::string& service,
                int port,
                int slots);
  // Starts the gateway and waits until it says that it is ready, and then until
  // it has been in touch with the platform for contact_ms and knows its peers.
  bool Start();
  // Kills the gateway and removes the folder.
  void Stop();

  Store& store() { return store_; }
  // Not to be called before Start.
  Process& gateway() { return *gateway_; }
  int front_port() const { return front_port_; }
  bool IsReady() const;

 private:
  std::string WriteSettings() const;

  std::string folder_;
  Record* record_;
  Store store_;
  int front_port_;
  int readiness_port_;
  int metrics_port_;
  int peer_port_;
  std::optional<Process> gateway_;
};

// The head of a request with the office's key, for a body of `length` bytes.
std::string RequestHead(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        int deadline_ms,
                        size_t length,
                        const Fields& more = {});
// The fields of a request for a model engine: the prompt of a dossier review,
// of which `shared_part` and the instructions in front of it are shared.
Fields PromptFields(const std::string& shared_part,
                    const std::string& own_part);

// Whether the disruption is to be played: TROUBLE is not 0.
bool HasTrouble();
// A new folder under the system's folder for temporary files.
std::string MakeTemporaryFolder();

}  // namespace review

#endif  // REVIEW_HARNESS_2_DEPLOYMENT_H_
