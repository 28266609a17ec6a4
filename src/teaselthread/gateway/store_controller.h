#ifndef TEASELTHREAD_GATEWAY_STORE_CONTROLLER_H_
#define TEASELTHREAD_GATEWAY_STORE_CONTROLLER_H_

#include <set>
#include <string>
#include <vector>

#include "teaselthread/gateway/store_watcher.h"

namespace teaselthread {

// Brings what the platform's store says of configuration, endpoints and
// evacuations into the node's state.
class StoreController {
 public:
  explicit StoreController(GatewayState* state);
  StoreController(const StoreController&) = delete;
  StoreController& operator=(const StoreController&) = delete;

  void Start();

 private:
  using Objects = std::vector<StoreObject>;

  StoreWatcher::Callbacks MakeCallbacks(
      void (StoreController::*on_list)(const Objects&, Timestamp),
      void (StoreController::*on_changes)(const Objects&, Timestamp));
  void OnConfigurationList(const Objects& objects, Timestamp asked_at);
  void OnConfigurationChanges(const Objects& objects, Timestamp asked_at);
  void OnEndpointList(const Objects& objects, Timestamp asked_at);
  void OnEndpointChanges(const Objects& objects, Timestamp asked_at);
  void OnEvacuationList(const Objects& objects, Timestamp asked_at);
  void OnEvacuationChanges(const Objects& objects, Timestamp asked_at);
  void OnReachable(bool reachable);

  // False if the object holds no valid configuration.
  bool TakeConfiguration(const StoreObject& object);
  std::optional<EndpointRecord> ReadEndpoint(const StoreObject& object);
  void LogEndpoint(const EndpointRecord& record);
  void SetEvacuated(std::set<std::string> zones);
  void LogUnreadable(StoreKind kind, const StoreObject& object,
                     const Error& reason);

  GatewayState* state_;
  StoreWatcher configuration_;
  StoreWatcher endpoints_;
  StoreWatcher evacuations_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_STORE_CONTROLLER_H_
