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

// Brings what the platform's store says of configuration, endpoints and
// evacuations into the node's state.
class StoreController {
 public:
  explicit StoreController(GatewayState* state);
  StoreController(const StoreController&) = delete;
  StoreController& operator=(const StoreController&) = delete;

  void Start();
  // Another gateway's heartbeat, with what it knows of the configuration.
  void OnPeerStatus(const PeerStatus& status);
  // Called when the store answers again and the proof is taken.
  void set_on_regained(std::function<void()> on_regained) {
    on_regained_ = std::move(on_regained);
  }

 private:
  using Objects = std::vector<StoreObject>;

  StoreWatcher::Callbacks MakeCallbacks(
      StoreKind kind,
      void (StoreController::*on_list)(const Objects&, Timestamp),
      void (StoreController::*on_changes)(const Objects&, Timestamp));
  void OnConfigurationList(const Objects& objects, Timestamp asked_at);
  void OnConfigurationChanges(const Objects& objects, Timestamp asked_at);
  void OnEndpointList(const Objects& objects, Timestamp asked_at);
  void OnEndpointChanges(const Objects& objects, Timestamp asked_at);
  void OnEvacuationList(const Objects& objects, Timestamp asked_at);
  void OnEvacuationChanges(const Objects& objects, Timestamp asked_at);
  void OnReachable(StoreKind kind, bool reachable);
  StoreWatcher::Pace ConfigurationPace() const;
  // Part of the bound on a leaving endpoint's last request.
  Duration DrainShare(double share) const;
  StoreWatcher::Pace ListPace(Duration lead_wait, Duration gather) const;
  // Asks the store if no other gateway shows the configuration to be new.
  void CheckAge();
  // Asks the store anew for what other gateways know and this one does not.
  void CheckMissedChanges();
  void AskForMissed(const MissedChangeDetector& missed,
                    uint64_t known,
                    StoreWatcher* watcher);

  // False if the object holds no valid configuration.
  bool TakeConfiguration(const StoreObject& object);
  std::optional<EndpointRecord> ReadEndpoint(const StoreObject& object);
  void LogEndpoint(const EndpointRecord& record);
  void SetEvacuated(std::set<std::string> zones);
  void LogUnreadable(StoreKind kind,
                     const StoreObject& object,
                     const Error& reason);

  GatewayState* state_;
  std::function<void()> on_regained_;
  RemovalGracePeriod removal_grace_period_;
  Timestamp lost_at_{};  // the latest loss of the store
  MissedChangeDetector missed_configuration_;
  MissedChangeDetector missed_endpoints_;
  MissedChangeDetector missed_evacuations_;
  bool asked_for_age_ = false;
  bool has_news_for_peers_ = false;
  StoreWatcher configuration_;
  StoreWatcher endpoints_;
  StoreWatcher evacuations_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_STORE_CONTROLLER_H_
