#ifndef TEASELTHREAD_CONFIGURATION_ANNOUNCER_H_
#define TEASELTHREAD_CONFIGURATION_ANNOUNCER_H_

#include <string>
#include <vector>

#include "teaselthread/platform_client.h"

namespace teaselthread {

// How many of the nodes that were told of a document have it in force.
struct Announcement {
  size_t told = 0;
  size_t in_force = 0;
};

// Tells a few nodes of a document that the platform has accepted, so that it
// comes into force also if the platform fails right after the write.
class ConfigurationAnnouncer {
 public:
  static constexpr size_t kNodesTold = 5;

  // `peer_addresses` are taken from the nodes' leases before the write.
  static asio::awaitable<std::vector<std::string>> FindNodes(
      PlatformClient client);
  static Announcement Announce(const std::vector<std::string>& peer_addresses,
                               const PlatformObject& document);
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CONFIGURATION_ANNOUNCER_H_
