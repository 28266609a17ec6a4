#ifndef TEASELTHREAD_SETTINGS_H_
#define TEASELTHREAD_SETTINGS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libteaselthread/error.h"
#include "libteaselthread/ini_document.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// An IP address and a port, written "192.0.2.1:80" or "[2001:db8::1]:80".
struct SocketAddress {
  std::string host;
  uint16_t port = 0;

  static Result<SocketAddress> Parse(std::string_view text);
  std::string ToString() const;

  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;
};

struct CallerLimits {
  uint32_t max_header_bytes = 0;
  uint32_t max_body_bytes = 0;
  uint32_t max_connections = 0;
  Duration idle_timeout{};     // between two requests of a connection
  Duration request_timeout{};  // from a request's first byte to its last

  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
};

struct TimingSettings {
  Duration heartbeat_interval{};
  Duration heartbeat_timeout{};  // until a heartbeat counts as failed
  Duration suspicion_timeout{};  // from suspect to dead
  Duration fence_timeout{};      // without peers' replies until self-fencing
  Duration endpoint_poll{};      // between two load reports of an endpoint
  Duration lease_interval{};     // between two renewals of the node's lease
  Duration progress_timeout{};   // without new data on a started response
  Duration connect_timeout{};

  friend auto operator<=>(const TimingSettings&,
                          const TimingSettings&) = default;
};

struct IdempotencySettings {
  uint32_t max_keys = 0;
  uint64_t max_answer_bytes = 0;
  Duration answer_ttl{};
  WallSeconds ticket_lifetime{};

  friend auto operator<=>(const IdempotencySettings&,
                          const IdempotencySettings&) = default;
};

// The settings that a node process reads from its INI file at startup.
class Settings {
 public:
  static Result<Settings> Parse(std::string_view text, std::string source);
  static Result<Settings> Load(const std::string& file_name);

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  const SocketAddress& caller_listen() const { return caller_listen_; }
  const SocketAddress& peer_listen() const { return peer_listen_; }
  const SocketAddress& platform() const { return platform_; }
  // Addresses of peers to contact first.
  const std::vector<SocketAddress>& seeds() const { return seeds_; }
  Duration address_ttl() const { return address_ttl_; }
  const CallerLimits& caller_limits() const { return caller_limits_; }
  const TimingSettings& timing() const { return timing_; }
  const IdempotencySettings& idempotency() const { return idempotency_; }
  const std::string& log_level() const { return log_level_; }

 private:
  Settings() = default;
  void ReadSection(const IniSection& section,
                   const std::string& source,
                   std::vector<Error>* errors);

  std::string name_;
  std::string zone_;
  SocketAddress caller_listen_;
  SocketAddress peer_listen_;
  SocketAddress platform_;
  std::vector<SocketAddress> seeds_;
  Duration address_ttl_{};
  CallerLimits caller_limits_;
  TimingSettings timing_;
  IdempotencySettings idempotency_;
  std::string log_level_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_SETTINGS_H_
