#ifndef TEASELTHREAD_REVIEW_HARNESS_DEPLOYMENT_H_
#define TEASELTHREAD_REVIEW_HARNESS_DEPLOYMENT_H_

#include <sys/types.h>

#include <condition_variable>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "net.h"

// A small deployment: gateway processes, and stand-ins for the platform's store
// and the workers.
namespace review {

// The figures of the users' small deployments.
inline constexpr double kGraceSeconds = 8;
inline constexpr double kDrainSeconds = 2;
inline constexpr char kHost[] = "review.example";
inline constexpr char kKey[] = "k-1";
inline constexpr char kTenant[] = "office";

// What was sent, answered and run, one event a line.
class Record {
 public:
  explicit Record(const std::string& file) : file_(file) {}
  void Write(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// The platform's store: objects by kind and name, lists and watches.
class Store {
 public:
  explicit Store(uint16_t port);
  void Stop();

  uint16_t port() const { return server_.port(); }
  // Creates or replaces an object. `spec` is JSON text.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);

 private:
  struct Object {
    uint64_t revision = 0;
    std::string spec;
  };
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    std::string event;
  };

  void Serve(Connection& connection);
  std::string Respond(const HttpMessage& request, int* status);
  std::string List(const std::string& kind);
  std::string Watch(const std::string& kind, uint64_t from, double wait);
  std::string Write(const HttpMessage& request,
                    const std::string& kind,
                    const std::string& name,
                    int* status);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, Object>> objects_;  // by kind
  std::vector<Change> history_;
  Server server_;  // last, since its threads use the members above
};

// One worker. Answers calls that are not for it as the platform's pages tell,
// and passes the others to the handler.
class Worker {
 public:
  // Writes the answer to `request`. Returns false if the connection is to be
  // closed.
  using Handler = std::function<bool(Worker&, const HttpMessage&, Connection&)>;

  Worker(std::string name,
         std::string service,
         std::string zone,
         int slots,
         Handler handler);

  const std::string& name() const { return name_; }
  void Register(Store& store, const std::string& state);
  void Stop() { server_.Stop(); }

  // The head of an answer with this worker's seal, up to the empty line.
  std::string AnswerHead(const HttpMessage& request,
                         const std::string& status) const;
  // A whole answer with a length.
  std::string Answer(const HttpMessage& request,
                     const std::string& status,
                     const std::string& body) const;

 private:
  void Serve(Connection& connection);

  std::string name_;
  std::string service_;
  std::string zone_;
  int slots_;
  int64_t born_ms_;
  Handler handler_;
  Server server_;
};

// A gateway process, started with the command of the deploy file.
class Gateway {
 public:
  Gateway(std::string name, std::string zone, uint16_t store);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  uint16_t front() const { return front_; }
  std::string peer_address() const { return LoopbackAddress(peer_); }
  void Start(const std::string& folder, const std::string& seeds);
  void Signal(int number) const;
  bool IsReady() const;
  // Asks for the addresses of gateways. Empty if there is no answer.
  std::string LookUp() const;
  bool IsRunning();
  // The wait status. Meaningful once IsRunning is false.
  int exit_status() const { return exit_status_; }
  void Kill();
  // The resident memory of the process.
  int64_t MemoryKb() const;

 private:
  std::string name_;
  std::string zone_;
  uint16_t store_;
  uint16_t front_ = FreePort();
  uint16_t admin_ = FreePort();
  uint16_t metrics_ = FreePort();
  uint16_t peer_ = FreePort();
  pid_t process_ = -1;
  int exit_status_ = 0;
};

struct DeploymentOptions {
  int gateways = 3;
  int engines = 3;
  int desks = 3;
};

class Deployment {
 public:
  Deployment(DeploymentOptions options,
             const Worker::Handler& engine,
             const Worker::Handler& desk);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Store& store() { return store_; }
  Gateway& gateway(size_t index) { return *gateways_[index]; }
  size_t gateways() const { return gateways_.size(); }
  Worker& engine(size_t index) { return *engines_[index]; }
  Worker& desk(size_t index) { return *desks_[index]; }
  const std::string& seeds() const { return seeds_; }
  const std::string& folder() const { return folder_; }
  // Waits until all gateways are ready.
  bool WaitUntilReady();

 private:
  std::string folder_;
  std::string seeds_;
  Store store_;
  std::vector<std::unique_ptr<Worker>> engines_;
  std::vector<std::unique_ptr<Worker>> desks_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
};

// A client's request on one of the deployment's routes: review (resumable
// stream), summary (stream), order (not idempotent) or status (idempotent).
std::string MakeRequest(const std::string& route,
                        const std::string& id,
                        int deadline_ms,
                        const std::string& body);

// How the answer to a client's request ended.
struct ClientAnswer {
  int status = 0;
  bool is_complete = false;
  bool keeps_alive = false;
  bool has_seal = false;
  int events = 0;
  std::string body;
};
ClientAnswer ReadAnswer(Connection& connection);

// Whether the case runs with its disruption.
bool HasTrouble();

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

}  // namespace review

#endif  // TEASELTHREAD_REVIEW_HARNESS_DEPLOYMENT_H_
