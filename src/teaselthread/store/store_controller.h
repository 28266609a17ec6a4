#ifndef TEASELTHREAD_STORE_STORE_CONTROLLER_H_
#define TEASELTHREAD_STORE_STORE_CONTROLLER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "libteaselthread/endpoints/removal_grace_period.h"
#include "teaselthread/store/configuration_confirmation.h"
#include "teaselthread/store/list_controller.h"

namespace teaselthread {

// Watches the configuration, the endpoints and the evacuated availability zones
// in the platform's store and applies their changes to the state of this node.
class StoreController {
 public:
  explicit StoreController(GatewayState* state);
  StoreController(const StoreController&) = delete;
  StoreController& operator=(const StoreController&) = delete;

  void Start();
  // Called for each heartbeat of a peer: it carries the version and the age of
  // the peer's configuration, and the newest revisions that the peer knows.
  void OnPeerStatus(const PeerStatus& status);
  // Called for each part of a batch that the zone leader relays.
  void OnRelayedPart(RelayedList list, ChangeBatchPart part) {
    if (ListController* controller = ControllerOf(list))
      controller->OnRelayedPart(std::move(part));
  }
  // What this gateway states about a list if it is the zone leader.
  std::optional<ListStatus> StatusToShare(RelayedList list) {
    ListController* controller = ControllerOf(list);
    return controller ? controller->StatusToShare() : std::nullopt;
  }
  // Whether this gateway knows the endpoints as the store had them at most
  // `max_age` ago; see ListController::Confirm.
  asio::awaitable<bool> ConfirmEndpoints(Duration max_age) {
    return endpoints_.Confirm(max_age);
  }
  // Sets the function that relays changes to the gateways of the zone.
  void set_on_batch(const ListController::BatchCallback& on_batch);
  // Sets the function that is called when the store responds again and has
  // confirmed the configuration.
  void set_on_store_recovered(std::function<void()> on_store_recovered) {
    on_store_recovered_ = std::move(on_store_recovered);
  }

 private:
  using Changes = ListController::Changes;

  // Null if the list is not watched.
  ListController* ControllerOf(RelayedList list);
  std::function<void(bool)> ReachabilityHandler(StoreKind kind);
  ListController::Handlers EndpointHandlers();
  ListController::Handlers EvacuationHandlers();
  ListController::Handlers RolloutHandlers();
  ListController::Timing ListTiming() const;
  // A fraction of the drain bound, which limits how late a draining endpoint
  // may get its last request.
  Duration DrainBoundShare(double share) const;
  StoreWatcher::PollTiming ConfigurationPollTiming() const;
  // A gateway asks the store itself if its configuration has not been confirmed
  // for this long.
  Duration MaxUnconfirmedAge() const;

  void OnConfigurationUpdate(const StoreUpdate& update);
  void OnReachabilityChanged(StoreKind kind, bool reachable);
  // Starts the period in which endpoints and operators write again what the
  // copy does not have.
  void OnStoreRestored();
  // The configuration has been confirmed to be the newest.
  void OnConfigurationConfirmed();
  // Reconnects the watch of the configuration if neither the store nor a peer
  // has confirmed the configuration for MaxUnconfirmedAge, or if it has not
  // delivered a version that a peer has announced.
  void CheckConfiguration();

  // Returns false if the object holds no valid configuration.
  bool ApplyConfiguration(const StoreObject& object);
  StoreChange DecodeEndpoint(const StoreObject& object);
  void ReplaceEndpoints(const Changes& endpoints);
  void ApplyEndpointChanges(const Changes& changes);
  void ReplaceEvacuations(const Changes& evacuations);
  void ApplyEvacuationChanges(const Changes& changes);
  void SetEvacuated(std::set<std::string> zones);
  // Ends the evacuations that were not written again after a restoration.
  void EndForgottenEvacuations(Timestamp now);
  StoreChange DecodeRollout(const StoreObject& object);
  void ReplaceRollouts(const Changes& orders);
  void ApplyRolloutChanges(const Changes& changes);
  void LogEndpointChanges(const Changes& changes);
  void LogUnreadable(StoreKind kind,
                     const StoreObject& object,
                     const Error& reason);

  GatewayState* state_;
  std::function<void()> on_store_recovered_;
  RemovalGracePeriod removal_grace_period_;
  // Evacuated zones that the restored store does not have.
  std::set<std::string> forgotten_evacuations_;
  // When the store was last found unreachable, or when a peer's heartbeat last
  // showed that it is back. On the clock that counts suspension.
  Timestamp last_unreachable_at_{};
  double call_jitter_;  // of ConfigurationFreshness::MaxUnconfirmedAge
  ConfigurationConfirmation confirmation_;
  bool age_check_pending_ = false;  // CheckConfiguration has reconnected
  // The newest configuration cannot be read; the one in use is older.
  bool is_configuration_unreadable_ = false;
  bool recovery_unannounced_ = false;  // on_store_recovered_ is to be called
  StoreWatcher configuration_;
  ListController endpoints_;
  ListController evacuations_;
  std::unique_ptr<ListController> rollouts_;  // null while rollouts are off
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_STORE_CONTROLLER_H_
