#ifndef TEASELTHREAD_STORE_STORE_CONTROLLER_H_
#define TEASELTHREAD_STORE_STORE_CONTROLLER_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "libteaselthread/endpoints/removal_grace_period.h"
#include "libteaselthread/peers/missed_change_detector.h"
#include "teaselthread/store/store_watcher.h"

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
  // Sets the function that is called when the store responds again and has
  // confirmed the configuration.
  void set_on_store_recovered(std::function<void()> on_store_recovered) {
    on_store_recovered_ = std::move(on_store_recovered);
  }

 private:
  using Objects = std::vector<StoreObject>;

  StoreWatcher::Callbacks MakeCallbacks(
      StoreKind kind,
      void (StoreController::*on_list)(const Objects&, Timestamp),
      void (StoreController::*on_changes)(const Objects&, Timestamp));
  void OnConfigurationList(const Objects& objects, Timestamp requested_at);
  void OnConfigurationChanges(const Objects& objects, Timestamp requested_at);
  void OnEndpointList(const Objects& objects, Timestamp requested_at);
  void OnEndpointChanges(const Objects& objects, Timestamp requested_at);
  void OnEvacuationList(const Objects& objects, Timestamp requested_at);
  void OnEvacuationChanges(const Objects& objects, Timestamp requested_at);
  void OnReachabilityChanged(StoreKind kind, bool reachable);
  StoreWatcher::PollTiming ConfigurationPollTiming() const;
  // A fraction of the drain bound, which limits how late a draining endpoint
  // may get its last request.
  Duration DrainBoundShare(double share) const;
  StoreWatcher::PollTiming ListPollTiming(Duration leader_wait,
                                          Duration batch_delay) const;
  // Reconnects the watch of the configuration if neither the store nor a peer
  // has confirmed the configuration for kMaxUnconfirmedAge.
  void CheckConfigurationAge();
  // Reconnects the watches that have not delivered a change that a peer has
  // announced.
  void CheckMissedChanges();
  void ReconnectIfMissed(const MissedChangeDetector& missed,
                         uint64_t known,
                         StoreWatcher* watcher);

  // Returns false if the object holds no valid configuration.
  bool ApplyConfiguration(const StoreObject& object);
  std::optional<EndpointRecord> ReadEndpoint(const StoreObject& object);
  void LogEndpoint(const EndpointRecord& record);
  void SetEvacuated(std::set<std::string> zones);
  void LogUnreadable(StoreKind kind,
                     const StoreObject& object,
                     const Error& reason);

  GatewayState* state_;
  std::function<void()> on_store_recovered_;
  RemovalGracePeriod removal_grace_period_;
  // When the store was last found unreachable, or when a peer's heartbeat last
  // showed that it is back. On the clock that counts suspension.
  Timestamp last_unreachable_at_{};
  MissedChangeDetector missed_configuration_;
  MissedChangeDetector missed_endpoints_;
  MissedChangeDetector missed_evacuations_;
  bool age_check_pending_ = false;     // CheckConfigurationAge has reconnected
  bool recovery_unannounced_ = false;  // on_store_recovered_ is to be called
  StoreWatcher configuration_;
  StoreWatcher endpoints_;
  StoreWatcher evacuations_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_STORE_CONTROLLER_H_
