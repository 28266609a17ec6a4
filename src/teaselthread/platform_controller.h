#ifndef TEASELTHREAD_PLATFORM_CONTROLLER_H_
#define TEASELTHREAD_PLATFORM_CONTROLLER_H_

#include <map>
#include <optional>
#include <string>

#include "teaselthread/node_state.h"
#include "teaselthread/platform_client.h"

namespace teaselthread {

inline constexpr char kConfigurationKind[] = "configuration";
inline constexpr char kConfigurationName[] = "current";
inline constexpr char kVmsKind[] = "vms";
inline constexpr char kNodesKind[] = "nodes";

// Follows the platform's objects: the configuration, the list of VMs that are
// endpoints, and the leases of nodes, of which it renews this node's.
class PlatformController {
 public:
  PlatformController(NodeState* state, PlatformClient client);

  // Starts the watches and the lease; they run as long as the node.
  void Start();
  // Gives the lease back.
  asio::awaitable<void> ReleaseLease();

 private:
  struct Lease {
    uint64_t version = 0;
    Timestamp unchanged_since{};
  };

  using TakeList = void (PlatformController::*)(const PlatformList&);

  asio::awaitable<void> Watch(const char* kind, TakeList take);
  asio::awaitable<void> KeepLease();
  asio::awaitable<void> RenewLease();
  asio::awaitable<void> ReadLeases();
  // Forgets dead peers whose leases have lapsed.
  asio::awaitable<void> CheckDeadPeers();
  asio::awaitable<void> Pause(Duration duration);
  void TakeConfiguration(const PlatformList& list);
  void TakeVms(const PlatformList& list);
  void NotePlatform(bool reachable);
  bool HasLapsed(const PlatformObject& object, Timestamp now);

  NodeState* state_;
  PlatformClient client_;
  uint64_t lease_version_ = 0;
  std::map<std::string, Lease> seen_leases_;
  std::optional<Timestamp> leases_read_at_;
  bool platform_is_reachable_ = true;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PLATFORM_CONTROLLER_H_
