#ifndef TEASELTHREAD_STORE_FLEET_RECORDS_H_
#define TEASELTHREAD_STORE_FLEET_RECORDS_H_

#include "libteaselthread/peers/leader_term.h"
#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/store/store_client.h"

namespace teaselthread {

// Keeps in the platform's store what the fleet has to know after all of its
// processes have ended: the marker of the store's epoch (see StoreRestoration).
// A gateway reads it at its start; zone leaders write it.
class FleetRecords {
 public:
  explicit FleetRecords(GatewayState* state);
  FleetRecords(const FleetRecords&) = delete;
  FleetRecords& operator=(const FleetRecords&) = delete;

  void Start();

 private:
  asio::awaitable<void> ReadAtStart();
  // Reads again and again until it succeeds.
  asio::awaitable<void> ReadAll(bool may_be_stale);
  void OnObject(const StoreObject& object);
  asio::awaitable<void> WriteWhenDue();
  // Whether this gateway knows that the store lacks nothing in its epoch, and
  // the marker does not say so.
  bool IsMarkerDue(Timestamp now) const;
  asio::awaitable<bool> WriteMarker();

  GatewayState* state_;
  StoreClient client_;
  LeaderTerm leader_term_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_FLEET_RECORDS_H_
