#ifndef REVIEW_HARNESS_3_WORKER_H_
#define REVIEW_HARNESS_3_WORKER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "asio.h"
#include "record.h"
#include "store.h"

namespace review {

// One run of a request.
struct WorkerRun {
  std::string worker;
  std::string version;
  uint64_t born = 0;
  std::string request_id;
  std::string parts;  // of the prompt
  int64_t at_ms = 0;  // of the record
  bool has_crashed = false;
};

// Stand-in for a worker. It registers in the store, answers requests for
// streams with events that name its version, and all others with one body.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string service = "pool";
    std::string zone = "palermo";
    std::string version = "v1";
    int slots = 64;
    milliseconds cold_left{0};
    int events = 20;  // of a complete stream
    milliseconds event_gap{200};
    milliseconds work{15};  // of a plain request
    std::string crashing_part = {};
  };

  Worker(asio::io_context* io,
         Record* record,
         Store* store,
         std::vector<WorkerRun>* runs,
         Options options);

  // Begins to listen, at the same address as before.
  void Start();
  // Writes the worker's entry. While the store is down, this is repeated until
  // it is back.
  void Register(const std::string& state = "ready");
  // Removes the entry and serves on.
  void Deregister();
  // Resets all connections and refuses new ones. The entry lapses later.
  void Crash();
  bool is_running() const { return acceptor_ != nullptr; }
  Options& options() { return options_; }
  // Called after a crash that a request has caused.
  void set_on_crashed(std::function<void()> on_crashed) {
    on_crashed_ = std::move(on_crashed);
  }

 private:
  using Request = http::request<http::string_body>;

  asio::awaitable<void> Accept(std::shared_ptr<tcp::acceptor> acceptor);
  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> socket);
  asio::awaitable<bool> Answer(tcp::socket& socket, const Request& request);
  asio::awaitable<bool> AnswerPlain(tcp::socket& socket,
                                    const Request& request,
                                    int status);
  asio::awaitable<bool> Stream(tcp::socket& socket,
                               const Request& request,
                               std::string version);
  asio::awaitable<void> WriteEntry(std::string state, uint64_t born);
  bool HasCrashingPart(const std::string& parts) const;

  asio::io_context* io_;
  Record* record_;
  Store* store_;
  std::vector<WorkerRun>* runs_;
  Options options_;
  uint16_t port_ = 0;
  uint64_t born_ = 0;
  std::shared_ptr<tcp::acceptor> acceptor_;
  std::set<std::shared_ptr<tcp::socket>> sockets_;
  std::function<void()> on_crashed_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_WORKER_H_
