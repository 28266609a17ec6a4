#ifndef TEASELTHREAD_STORE_LIST_CONTROLLER_H_
#define TEASELTHREAD_STORE_LIST_CONTROLLER_H_

#include <functional>
#include <optional>
#include <vector>

#include "libteaselthread/peers/missed_change_detector.h"
#include "teaselthread/store/store_watcher.h"

namespace teaselthread {

// Keeps one list of the platform's store up to date. The zone leader watches it
// and relays the changes to the other gateways of its availability zone, which
// watch it themselves only while no leader informs them.
class ListController {
 public:
  struct Timing {
    Duration leader_wait{};     // wait of the zone leader's watch calls
    Duration batch_delay{};     // pause after a change, to batch further ones
    Duration max_status_age{};  // of the leader's status; see RelayedListView
  };
  using Changes = std::vector<StoreChange>;
  struct Handlers {
    std::function<StoreChange(const StoreObject&)> decode;
    std::function<void(const Changes&)> replace_all;  // the whole list
    std::function<void(const Changes&)> apply;        // what has changed
    std::function<void(bool reachable)> on_reachability_changed;
    std::function<void(StoreEpoch)> on_restored = {};
  };
  using BatchCallback = std::function<void(RelayedList, const ChangeBatch&)>;

  ListController(GatewayState* state,
                 RelayedList list,
                 StoreKind kind,
                 Timing timing,
                 Handlers handlers);
  ListController(const ListController&) = delete;
  ListController& operator=(const ListController&) = delete;

  void Start() { watcher_.Start(); }
  // Sets the function that relays a batch to the gateways of the zone.
  void set_on_batch(BatchCallback on_batch) { on_batch_ = std::move(on_batch); }
  // A peer has announced a revision of the list, or 0.
  void OnPeerRevision(uint64_t revision, StoreEpoch epoch);
  // The status of a gateway of this zone that watches the list.
  void OnLeaderStatus(const ListStatus& status);
  void OnRelayedPart(ChangeBatchPart part);
  // Resumes a suspended watch if it has become necessary, and reconnects a
  // watch that has not delivered a change that a peer has announced.
  void Check();

  // Whether this gateway knows the list as the store had it at most `max_age`
  // ago, on the clock that counts suspension of the machine. Asks the store if
  // it must; calls at the same time share an answer. False if the store does
  // not respond.
  asio::awaitable<bool> Confirm(Duration max_age);

  // What this gateway states if it is the zone leader.
  std::optional<ListStatus> StatusToShare() const;
  StoreWatcher& watcher() { return watcher_; }

 private:
  StoreWatcher::PollTiming ChoosePollTiming() const;
  bool IsLeader() const { return state_->peers().IsZoneLeader(state_->Now()); }
  void OnList(const StoreUpdate& update);
  void OnChanges(const StoreUpdate& update);
  Changes Decode(const std::vector<StoreObject>& objects) const;
  // Whether a change that this gateway has heard of has not reached it in time.
  bool HasMissedChange() const;
  StoreWatcher::Callbacks MakeCallbacks();
  void EndConfirmation();

  GatewayState* state_;
  RelayedList list_;
  Timing timing_;
  Handlers handlers_;
  BatchCallback on_batch_;
  MissedChangeDetector missed_by_watch_;
  // While the watch is suspended: by the leader, and by this gateway although
  // the leader has relayed it.
  MissedChangeDetector missed_by_leader_;
  MissedChangeDetector missed_relay_;
  bool probe_pending_ = false;  // a change was missed; the store is to be asked
  bool is_confirming_ = false;
  asio::steady_timer confirmation_ended_;  // cancelled at the end of a call
  StoreWatcher watcher_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_LIST_CONTROLLER_H_
