#ifndef TEASELTHREAD_GATEWAY_GATEWAY_SETTINGS_H_
#define TEASELTHREAD_GATEWAY_GATEWAY_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "libteaselthread/attempts/retry_allowance.h"
#include "libteaselthread/callers/body_rate.h"
#include "libteaselthread/error.h"
#include "libteaselthread/ini_document.h"
#include "libteaselthread/rollouts/rollout_order.h"
#include "libteaselthread/settings.h"

namespace teaselthread {

// Limits that the operators guarantee to callers and endpoints.
struct GatewayLimits {
  Duration revocation_bound{};  // until a revoked key stops working
  // Until a new configuration is in force at every gateway.
  Duration configuration_bound{};
  Duration drain_bound{};    // until a leaving endpoint gets no new requests
  Duration contact_bound{};  // from the end of a network disruption at a
                             // gateway until the other bounds hold again
  RetryLimit retries;        // shared by all nodes
  double cold_over = 1;      // multiple of a service's cold request rate
  double cold_slack = 0;     // requests per second on top of that
  // No engine's load may exceed this multiple of the mean load, plus 3.
  double load_multiple = 2;
  Duration leaving_grace{};  // from SIGTERM until the process is killed

  friend auto operator<=>(const GatewayLimits&, const GatewayLimits&) = default;
};

// Limits on callers that nobody controls.
struct UntrustedCallerLimits {
  // Open connections of callers; zero derives it from the descriptors that the
  // process may have open.
  size_t max_connections = 0;
  BodyRate::Limit body_rate;
  // What the gateway reads of a stream beyond what its caller has read.
  size_t read_ahead_bytes = 0;

  friend auto operator<=>(const UntrustedCallerLimits&,
                          const UntrustedCallerLimits&) = default;
};

// Settings of one gateway process, read from its INI file at startup and on
// SIGHUP.
class GatewaySettings {
 public:
  static Result<GatewaySettings> Parse(std::string_view text,
                                       std::string source);
  static Result<GatewaySettings> Load(const std::string& file_name);

  // INI text with the effective value of every key. Parse accepts it.
  std::string ToText() const;

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  const std::string& log_level() const { return log_level_; }
  const SocketAddress& front_listen() const { return front_listen_; }
  const SocketAddress& readiness_listen() const { return readiness_listen_; }
  const SocketAddress& directory_listen() const { return directory_listen_; }
  const SocketAddress& metrics_listen() const { return metrics_listen_; }
  const SocketAddress& peer_listen() const { return peer_listen_; }
  const SocketAddress& store() const { return store_; }
  // Peer addresses that are contacted while no other node is known.
  const std::vector<SocketAddress>& seeds() const { return seeds_; }
  Duration heartbeat_interval() const { return heartbeat_interval_; }
  Duration heartbeat_timeout() const { return heartbeat_timeout_; }
  Duration address_ttl() const { return address_ttl_; }
  // What the process may use in total.
  size_t memory_bytes() const { return memory_bytes_; }
  const GatewayLimits& limits() const { return limits_; }
  const UntrustedCallerLimits& callers() const { return callers_; }
  const RolloutLimits& rollouts() const { return rollouts_; }
  // The most hedges as a share of a service's requests; 0 disables hedging.
  double hedging_share() const { return hedging_share_; }

 private:
  GatewaySettings() = default;
  void ReadNode(const IniSection& section,
                const std::string& source,
                std::vector<Error>* errors);
  void ReadPeers(const IniSection& section,
                 const std::string& source,
                 std::vector<Error>* errors);
  void ReadLimits(const IniSection& section,
                  const std::string& source,
                  std::vector<Error>* errors);
  void ReadCallers(const IniSection& section,
                   const std::string& source,
                   std::vector<Error>* errors);
  void ReadRollouts(const IniSection& section,
                    const std::string& source,
                    std::vector<Error>* errors);
  void ReadHedging(const IniSection& section,
                   const std::string& source,
                   std::vector<Error>* errors);

  std::string name_;
  std::string zone_;
  std::string log_level_;
  SocketAddress front_listen_;
  SocketAddress readiness_listen_;
  SocketAddress directory_listen_;
  SocketAddress metrics_listen_;
  SocketAddress peer_listen_;
  SocketAddress store_;
  std::vector<SocketAddress> seeds_;
  Duration heartbeat_interval_{};
  Duration heartbeat_timeout_{};
  Duration address_ttl_{};
  size_t memory_bytes_ = 0;
  GatewayLimits limits_;
  UntrustedCallerLimits callers_;
  RolloutLimits rollouts_;
  double hedging_share_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_GATEWAY_SETTINGS_H_
