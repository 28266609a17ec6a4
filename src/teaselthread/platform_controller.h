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

// Watches the configuration and the list of endpoint VMs in the platform, reads
// the leases of the nodes, and renews the lease of this node.
class PlatformController {
 public:
  PlatformController(NodeState* state, PlatformClient client);

  // Starts the watches and the renewal of the lease; they run until the node
  // stops.
  void Start();
  // Deletes the lease of this node.
  asio::awaitable<void> ReleaseLease();

 private:
  struct ObservedLease {
    uint64_t version = 0;
    Timestamp unchanged_since{};
  };

  using ListHandler = void (PlatformController::*)(const PlatformList&);

  asio::awaitable<void> Watch(const char* kind, ListHandler handler);
  asio::awaitable<void> MaintainLease();
  asio::awaitable<void> RenewLease();
  asio::awaitable<void> ReadLeases();
  // Removes dead peers whose leases have expired or been deleted.
  asio::awaitable<void> RemoveExpiredPeers();
  asio::awaitable<void> Sleep(Duration duration);
  void ApplyConfiguration(const PlatformList& list);
  void ApplyVmList(const PlatformList& list);
  void RecordPlatformCall(bool reachable);
  bool HasExpired(const PlatformObject& object, Timestamp now);

  NodeState* state_;
  PlatformClient client_;
  uint64_t lease_version_ = 0;
  std::map<std::string, ObservedLease> observed_leases_;
  std::optional<Timestamp> leases_read_at_;
  bool platform_is_reachable_ = true;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_PLATFORM_CONTROLLER_H_
