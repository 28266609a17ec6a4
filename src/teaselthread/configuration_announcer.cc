#include "teaselthread/configuration_announcer.h"

#include <algorithm>
#include <random>

#include "teaselthread/peers/peer_client.h"
#include "teaselthread/platform_controller.h"
#include "teaselthread/platform_json.h"

namespace teaselthread {
namespace {

constexpr Duration kOfferTimeout = std::chrono::seconds(2);

}  // namespace

asio::awaitable<std::vector<std::string>> ConfigurationAnnouncer::FindNodes(
    PlatformClient client) {
  std::vector<std::string> addresses;
  const Result<PlatformList> leases = co_await client.List(kNodesKind);
  if (!leases)
    co_return addresses;
  for (const PlatformObject& object : leases->objects) {
    const Result<Member> member = ReadLease(object);
    if (member)
      addresses.push_back(member->peer_address);
  }
  std::shuffle(addresses.begin(), addresses.end(), std::random_device());
  addresses.resize(std::min(addresses.size(), kNodesNotified));
  co_return addresses;
}

Announcement ConfigurationAnnouncer::Announce(
    const std::vector<std::string>& peer_addresses,
    const PlatformObject& document) {
  asio::io_context io(1);
  PeerClient peers(&io);
  wire::ConfigurationDocument message;
  message.set_version(document.version);
  message.set_text(document.value);
  Announcement announcement;
  announcement.notified = peer_addresses.size();
  size_t pending = peer_addresses.size();
  auto work = asio::make_work_guard(io);
  for (const std::string& address : peer_addresses) {
    peers.Call(&PeerClient::Methods::OfferConfiguration, address, message,
               kOfferTimeout,
               [&](const std::optional<wire::OfferReply>& reply) {
                 if (reply && reply->version_in_force() >= document.version)
                   ++announcement.in_force;
                 if (--pending == 0)
                   work.reset();
               });
  }
  if (peer_addresses.empty())
    work.reset();
  io.run();
  return announcement;
}

}  // namespace teaselthread
