#ifndef TEASELTHREAD_CONFIGURATION_ANNOUNCER_H_
#define TEASELTHREAD_CONFIGURATION_ANNOUNCER_H_

#include <string>
#include <vector>

#include "teaselthread/platform_client.h"

namespace teaselthread {

// The number of nodes that were notified of a document, and of those that
// reported it as in force.
struct Announcement {
  size_t notified = 0;
  size_t in_force = 0;
};

// Notifies a few nodes of a document that the platform has accepted, so that it
// comes into force even if the platform fails right after the write.
class ConfigurationAnnouncer {
 public:
  static constexpr size_t kNodesNotified = 5;

  // Returns the peer addresses of randomly chosen nodes from their leases.
  static asio::awaitable<std::vector<std::string>> FindNodes(
      PlatformClient client);
  // `peer_addresses` come from FindNodes, called before the write.
  static Announcement Announce(const std::vector<std::string>& peer_addresses,
                               const PlatformObject& document);
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CONFIGURATION_ANNOUNCER_H_
