#ifndef REVIEW_HARNESS_3_FLEET_H_
#define REVIEW_HARNESS_3_FLEET_H_

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

#include "asio.h"
#include "record.h"
#include "store.h"

namespace review {

// The settings that the deploy file's template is filled in with.
struct GatewayNode {
  std::string name;
  std::string zone;
  uint16_t front = 0;
  uint16_t readiness = 0;
  uint16_t directory = 0;
  uint16_t metrics = 0;
  uint16_t peer = 0;
  uint16_t store = 0;
  pid_t pid = 0;
};

// Gateways as separate processes, each with its own settings file and log in a
// temporary folder. All are ended with the fleet.
class Fleet {
 public:
  Fleet(asio::io_context* io, Record* record, Store* store);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Adds one gateway for each of the zones and starts them.
  void Start(const std::vector<std::string>& zones);
  void Launch(size_t node);
  // Sends a signal to the process of a gateway.
  void Signal(size_t node, int signal);
  // Ends it with SIGKILL and waits for its end.
  void Kill(size_t node);
  const std::vector<GatewayNode>& nodes() const { return nodes_; }
  const GatewayNode& node(size_t index) const { return nodes_[index]; }
  // Waits until all say that they are ready. Returns false after 20 s.
  asio::awaitable<bool> AwaitReady();
  // Writes the lines of the logs that contain one of the words to the record.
  void CopyLogLines(const std::vector<std::string>& words);

 private:
  std::string FillIn(std::string text, const GatewayNode& node) const;
  asio::awaitable<bool> IsReady(uint16_t port);

  asio::io_context* io_;
  Record* record_;
  Store* store_;
  std::filesystem::path folder_;
  std::vector<GatewayNode> nodes_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_FLEET_H_
