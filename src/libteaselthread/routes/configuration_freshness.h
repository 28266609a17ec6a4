#ifndef TEASELTHREAD_ROUTES_CONFIGURATION_FRESHNESS_H_
#define TEASELTHREAD_ROUTES_CONFIGURATION_FRESHNESS_H_

#include <optional>

#include "libteaselthread/timestamp.h"

namespace teaselthread {

// How long ago the node's configuration was last confirmed to be the newest.
// API keys may have been revoked since then, so requests with keys are refused
// once the last confirmation is too old. Times are on a clock that also runs
// while the system is suspended.
class ConfigurationFreshness {
 public:
  explicit ConfigurationFreshness(Duration max_age) : max_age_(max_age) {}

  // The store was queried at `asked_at`, and its response shows that this
  // node's configuration was the newest at that time.
  void OnConfirmed(Timestamp asked_at);

  // A node with the same configuration states that the configuration was
  // confirmed `age` before that node sent its message. It sent the message
  // after it had received the one that this node sent at `echoed_at`, so
  // `echoed_at` - `age` is a safe estimate: it depends neither on the other
  // node's clock nor on the transit time of the message.
  void OnConfirmedByPeer(Timestamp echoed_at, Duration age, Timestamp now);

  // A newer configuration exists that the store may not show. What was
  // confirmed counts no more.
  void Withdraw() { confirmed_at_.reset(); }

  // The age at which a node that its peers have not informed asks the store, so
  // that it still applies a new configuration, and refuses a revoked key, in
  // time. `jitter`, from 0 to 1, spreads the calls of nodes that lost the same
  // peer.
  //
  // Load pattern: the peer that confirms the configuration for a whole
  // availability zone loses the store, stops or is cut off.
  static Duration MaxUnconfirmedAge(Duration configuration_bound,
                                    Duration revocation_bound,
                                    double jitter);

  bool IsFresh(Timestamp now) const;
  // Empty before the first confirmation, and after Withdraw.
  std::optional<Duration> Age(Timestamp now) const;

 private:
  Duration max_age_;
  std::optional<Timestamp> confirmed_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ROUTES_CONFIGURATION_FRESHNESS_H_
