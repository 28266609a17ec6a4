#ifndef TEASELTHREAD_RATE_LIMITS_RATE_LIMIT_TABLE_H_
#define TEASELTHREAD_RATE_LIMITS_RATE_LIMIT_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libteaselthread/endpoints/endpoint_record.h"
#include "libteaselthread/rate_limits/rate_limit_share.h"
#include "libteaselthread/rate_limits/rate_limit_update.h"
#include "libteaselthread/rate_limits/send_window.h"

namespace teaselthread {

// What a response says of its endpoint's rate limit.
struct NamedRate {
  enum class Kind : uint8_t {
    kUnknown,    // it says nothing: an error, or a value that makes no sense
    kUnlimited,  // a success that names no limit
    kLimited,
  };
  Kind kind = Kind::kUnknown;
  double rate = 0;  // requests per second, for kLimited

  friend auto operator<=>(const NamedRate&, const NamedRate&) = default;
};

// How the knowledge of a rate limit has changed.
enum class RateLimitChange : uint8_t { kNone, kNamed, kChanged, kLifted };
inline constexpr size_t kRateLimitChangeCount = 4;
std::string_view ToString(RateLimitChange change);

// A limit in force, for log lines and decisions.
struct RateLimitStatus {
  double rate = 0;  // requests per second from all nodes
  Duration age{};   // time since the endpoint last said so
  RateLimitShare share;

  friend auto operator<=>(const RateLimitStatus&,
                          const RateLimitStatus&) = default;
};

// What this node may send to the limited endpoints of a service.
struct RateLimitRoom {
  // Until the next request. Empty if this node has no share of any limit.
  std::optional<Duration> until_next{};
  // This node's shares, and the mean over all nodes. Both are 0 if no endpoint
  // has a limit.
  double own_rate = 0;
  double mean_rate = 0;

  friend auto operator<=>(const RateLimitRoom&, const RateLimitRoom&) = default;
};

// Changes of rate limits that are to be passed on.
struct RateLimitNews {
  std::vector<RateLimitUpdate> for_zone;
  // Those that this node has learned from the endpoints themselves.
  std::vector<RateLimitUpdate> for_other_zones;
};

// The rate limits that endpoints have named in their responses, to this node or
// to others, and this node's requests within its share of each. A limit holds
// for one incarnation of an endpoint, also if its record in the store lapses
// and is registered again, until a response to a later request names none.
//
// A node without a share of a limit sends nothing, unless it has heard nothing
// of the limit for long: then the nodes try one after the other, at the rate of
// the limit, whether it still holds.
//
// Load pattern: endpoints that are overloaded take a few requests a second from
// all nodes together, which is less than one in a while for each of hundreds of
// nodes.
class RateLimitTable {
 public:
  // Bounds of a rate, in requests per second. A limit below the lower bound
  // would keep an endpoint from ever showing that it has ended.
  static constexpr double kMinRate = 0.1;
  static constexpr double kMaxRate = 1e6;
  // A limit is old from this age on, and later the more limits there are, since
  // a node hears of only so many of them in a while.
  static constexpr Duration kStaleAge = std::chrono::seconds(10);
  static constexpr Duration kStaleAgePerLimit = std::chrono::milliseconds(500);

  // The nodes that share the limits, and this node's own name. Until the first
  // call, this node is taken to be alone.
  void SetNodes(const std::string& self, std::vector<std::string> nodes);

  // The endpoint responded to a request that this node sent at `sent_at`. A
  // limit is lifted only by the response to a request that was sent after the
  // limit was last heard of, since responses overtake each other.
  RateLimitChange OnResponse(const EndpointRecord& endpoint,
                             const NamedRate& named,
                             Timestamp sent_at,
                             Timestamp now);
  // Another node has told of a limit of `endpoint`, which `update` names. The
  // later word wins; that of another incarnation is ignored.
  RateLimitChange OnUpdate(const EndpointRecord& endpoint,
                           const RateLimitUpdate& update,
                           Timestamp now);
  // A request is sent to the endpoint.
  void OnSend(const EndpointRecord& endpoint, Timestamp now);

  bool Allows(const EndpointRecord& endpoint, Timestamp now) const;
  // When this node may send its next request to the endpoint; not after `now`
  // if it may now. Empty if it has no share.
  std::optional<Timestamp> NextSendAt(const EndpointRecord& endpoint,
                                      Timestamp now) const;
  // Empty if the endpoint has no limit.
  std::optional<RateLimitStatus> StatusOf(const EndpointRecord& endpoint,
                                          Timestamp now) const;
  // Number of limits in force.
  size_t size() const;

  // Up to kMaxUpdates changes that have not been passed on yet. They count as
  // passed on from then on. Empty most of the time.
  RateLimitNews TakeChanges(Timestamp now);
  // Up to kMaxUpdates limits, those that were passed on the longest ago first,
  // so that nodes without a share learn that the limits still hold.
  std::vector<RateLimitUpdate> TakeForRefresh(Timestamp now);
  // All limits in force, for a node that has just started.
  std::vector<RateLimitUpdate> All(Timestamp now) const;

  // Forgets what can no longer matter, among it the limits of endpoints that
  // have not been registered for a while.
  void Sweep(const std::function<bool(const std::string&)>& is_registered,
             Timestamp now);

  static constexpr size_t kMaxUpdates = 12;

 private:
  struct Entry {
    uint64_t started_at_ms = 0;       // of the incarnation
    std::optional<double> rate;       // empty: lifted
    std::optional<double> told_rate;  // the latest one that was news
    Timestamp said_at{};              // by the endpoint
    RateAllowance allowance;
    RateLimitShare share;
    SendWindow sends;
    bool is_changed = false;  // not passed on yet
    bool is_own = false;      // the latest word came from the endpoint
    Timestamp passed_on_at{};
  };

  const Entry* Find(const EndpointRecord& endpoint) const;
  // Applies the later of two words.
  RateLimitChange Apply(const EndpointRecord& endpoint,
                        std::optional<double> rate,
                        Timestamp said_at);
  Timestamp NextSendAt(const Entry& entry) const;
  // The time in which each node may send one request.
  static Duration TurnOfAll(const Entry& entry);
  void UpdateShare(const std::string& endpoint_id, Entry* entry) const;
  static RateLimitUpdate MakeUpdate(const std::string& endpoint_id,
                                    const Entry& entry,
                                    Timestamp now);

  std::string self_;
  std::vector<std::string> nodes_;
  std::map<std::string, Entry> entries_;  // by endpoint id
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_RATE_LIMITS_RATE_LIMIT_TABLE_H_
