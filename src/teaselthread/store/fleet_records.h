#ifndef TEASELTHREAD_STORE_FLEET_RECORDS_H_
#define TEASELTHREAD_STORE_FLEET_RECORDS_H_

#include <optional>
#include <vector>

#include "libteaselthread/peers/leader_term.h"
#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/store/store_client.h"

namespace teaselthread {

// Keeps in the platform's store what the fleet has to know after all of its
// processes have ended: the marker of the store's epoch (see StoreRestoration),
// and which prompt parts crash engines (see CrashSuspects). A gateway reads it
// at its start; zone leaders write it.
//
// Load pattern: requests with a part that crashes engines come every few
// seconds, while all gateways are killed at once, again and again.
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
  asio::awaitable<bool> Read(StoreClient* client, bool may_be_stale);
  void OnObject(const StoreObject& object);
  void OnMarker(const StoreObject& object);
  void OnCrashRecord(const StoreObject& object);
  asio::awaitable<void> WriteWhenDue();
  // Whether this gateway knows that the store lacks nothing in its epoch, and
  // the marker does not say so.
  bool IsMarkerDue(Timestamp now) const;
  asio::awaitable<bool> WriteMarker();
  // Whether the store lacks evidence on prompt parts that this gateway has.
  bool IsCrashRecordDue(Timestamp now);
  // Reads the records of all zones before it writes that of this zone, as
  // another leader may have written it.
  asio::awaitable<bool> WriteCrashRecord();
  // Writes one of the objects that are due. Returns whether it succeeded; empty
  // if none is due.
  asio::awaitable<std::optional<bool>> WriteNext();

  GatewayState* state_;
  StoreClient reader_;  // at the start, beside the writer
  StoreClient writer_;
  LeaderTerm leader_term_;
  bool has_read_crashes_ = false;
  // The evidence that was written to the store in `epoch_`, without ages.
  std::vector<CrashEvidence> written_;
  StoreEpoch epoch_;
  // A write without a response may replace later ones until this time.
  std::optional<Timestamp> rewrite_at_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_FLEET_RECORDS_H_
