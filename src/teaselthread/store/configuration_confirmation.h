#ifndef TEASELTHREAD_STORE_CONFIGURATION_CONFIRMATION_H_
#define TEASELTHREAD_STORE_CONFIGURATION_CONFIRMATION_H_

#include <optional>

#include "libteaselthread/peers/missed_change_detector.h"
#include "teaselthread/gateway/gateway_state.h"

namespace teaselthread {

// Decides whether a response of the store shows that the configuration in use
// is the newest one. Another version may revoke keys, even if the store, which
// was restored from an older copy, does not have it.
class ConfigurationConfirmation {
 public:
  explicit ConfigurationConfirmation(GatewayState* state);

  // A peer has named the version that it uses. Returns whether it is newer than
  // the one in use here.
  bool OnPeerVersion(uint64_t version);
  // The store was found to be restored. It had been unreachable for this node
  // since `reachable_until`, on the clock that counts suspension. `max_age`: of
  // a confirmation after which this node cannot have missed a version.
  void OnStoreRestored(Timestamp reachable_until, Duration max_age);
  // The store has responded to a call for the configuration that was made at
  // `requested_at`, on the clock that counts suspension. Returns whether this
  // confirms the configuration in use.
  bool OnResponse(Timestamp requested_at);
  // The same for an earlier response that could not confirm it before the
  // marker of the store's epoch was read.
  bool ConfirmByEarlierResponse();

  // Whether a peer uses a newer version than this node. There must be one in
  // use.
  bool KnowsOfNewer() const;
  // The newest version that a peer uses.
  uint64_t newest_peer_version() const {
    return missed_.newest_peer_revision();
  }
  // Whether the watch, whose call was made at `waiting_since`, should have
  // delivered a version that a peer uses.
  bool IsMissed(std::optional<Timestamp> waiting_since) const;

 private:
  struct Response {
    Timestamp requested_at{};  // on the clock that counts suspension
    Timestamp received_at{};
  };

  // Requests with keys are refused until a confirmation.
  void Withdraw();

  GatewayState* state_;
  MissedChangeDetector missed_;
  // When a peer has first named the newest version. On the clock that counts
  // suspension.
  Timestamp newest_heard_at_{};
  // Whether the configuration had been confirmed shortly before the store was
  // restored. Otherwise the store may lack versions that this node has never
  // heard of.
  bool was_confirmed_when_restored_ = false;
  std::optional<Response> earlier_response_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_CONFIGURATION_CONFIRMATION_H_
