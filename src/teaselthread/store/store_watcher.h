#ifndef TEASELTHREAD_STORE_STORE_WATCHER_H_
#define TEASELTHREAD_STORE_STORE_WATCHER_H_

#include <functional>
#include <vector>

#include "libteaselthread/peers/relayed_list_view.h"
#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/http_connection.h"

namespace teaselthread {

// A list, or the changes of one, as received from the store.
struct StoreUpdate {
  std::vector<StoreObject> objects;
  // The changes are those after revision `from`, up to `to`. For a list, both
  // are its revision.
  uint64_t from = 0;
  uint64_t to = 0;
  // Time of the call, on the clock that counts suspension. The response
  // describes the state of the store at that time or later.
  Timestamp requested_at{};
};

// Tracks the objects of one kind in the platform's store: lists them, then
// watches for changes by long polling, and lists them again if the store no
// longer holds the history from the last known revision on, or has been
// restored from an older copy and names a newer epoch.
class StoreWatcher {
 public:
  using UpdateCallback = std::function<void(const StoreUpdate&)>;
  struct Callbacks {
    UpdateCallback on_list;
    UpdateCallback on_changes;  // also called if nothing has changed
    // Called when the calls begin to fail, and when they succeed again.
    std::function<void(bool reachable)> on_reachability_changed;
    // Called before `on_list` if the list is the first one of a newer epoch.
    std::function<void(StoreEpoch)> on_restored = {};
  };

  // Pauses after failed calls.
  struct BackoffLimits {
    Duration shortest{};  // after the first one
    Duration longest{};
  };
  // Timing of the calls. Queried before each watch call and each pause.
  struct PollTiming {
    Duration wait{};         // how long a watch call waits for changes
    Duration batch_delay{};  // pause after a change, to batch further ones
    BackoffLimits backoff;
    // No call is made until Resume, as another node relays the changes.
    bool is_suspended = false;
  };

  // Wait of a watch that is not to confirm anything. The store responds as soon
  // as something changes, so a long wait does not delay changes. It is shorter
  // than the store's history (20 s in the deployments), which the response to
  // an unchanged kind must not fall out of.
  static constexpr Duration kLongWait = std::chrono::seconds(15);
  // Wait of a call that only asks for the current state: the store responds at
  // once if there are changes.
  static constexpr Duration kProbeWait = std::chrono::milliseconds(10);
  // The zone leader detects soon that the store is back, and its heartbeat
  // tells the other gateways, which ask less often.
  static constexpr BackoffLimits kLeaderBackoff{std::chrono::milliseconds(60),
                                                std::chrono::milliseconds(400)};
  static constexpr BackoffLimits kFollowerBackoff{
      std::chrono::milliseconds(500), std::chrono::milliseconds(2'000)};

  StoreWatcher(GatewayState* state,
               StoreKind kind,
               Duration max_leader_status_age,
               std::function<PollTiming()> poll_timing,
               Callbacks callbacks);

  void Start();
  // Repeats a call in progress on a new connection, with the poll timing that
  // applies now, and ends a pause after a failure. Used if another connection
  // to the store has failed, so that this one may be dead as well, or if a peer
  // has announced a change.
  void Reconnect();
  // Makes a call without delay, with the poll timing that applies now. It
  // replaces a call in progress.
  void CallNow();
  // Ends a suspension. The poll timing is queried again.
  void Resume();
  bool is_suspended() const { return suspended_since_.has_value(); }
  // If set, no further calls are made after a failure until Reconnect is
  // called.
  void SuspendAfterFailure(bool suspend) { suspends_after_failure_ = suspend; }
  StoreKind kind() const { return kind_; }
  bool is_unreachable() const { return failures_ > 0; }
  // The revision of the store up to which all changes are known.
  uint64_t revision() const { return view_.revision(); }
  StoreEpoch epoch() const { return view_.epoch(); }
  RelayedListView& view() { return view_; }
  const RelayedListView& view() const { return view_; }
  // The highest revision of an object that was received in this epoch.
  uint64_t newest_object_revision() const { return newest_object_revision_; }
  // When the call in progress was made, or when the watch was suspended; empty
  // between calls.
  std::optional<Timestamp> waiting_since() const {
    return connection_.busy() ? std::optional(called_at_) : suspended_since_;
  }
  // How long the call in progress, or the latest one, waits for changes.
  Duration call_wait() const { return call_wait_; }
  // When the latest call was made whose response leaves no change unknown that
  // the store had at that time, on the clock that counts suspension of the
  // machine.
  std::optional<Timestamp> confirmed_at() const { return confirmed_at_; }
  // Since when no change of the objects is unknown: the latest list that did
  // not continue what was known. Empty before the first one.
  std::optional<Timestamp> known_since() const { return known_since_; }
  // When the most recent of the failed calls was made.
  Timestamp last_failed_call_at() const { return last_failed_call_at_; }

 private:
  enum class CallResult { kDone, kRetry, kRelist, kFailed };

  asio::awaitable<void> Run();
  asio::awaitable<CallResult> List();
  asio::awaitable<CallResult> Watch();
  CallResult ApplyList(StoreUpdate update, StoreEpoch epoch);
  void OnRestored(StoreEpoch epoch, uint64_t known, uint64_t listed);
  asio::awaitable<Result<HttpReply>> Get(std::string target, Duration timeout);
  // The pause after `attempts` calls in a row, with jitter.
  Duration BackoffTime(uint32_t attempts);
  asio::awaitable<void> Backoff();
  asio::awaitable<void> PauseBeforeList();
  asio::awaitable<void> WaitForResume();
  // Classifies a call that ended without a usable response.
  CallResult OnCallError(const Error& reason);
  CallResult OnFailure(const std::string& detail);
  void OnSuccess(const std::vector<StoreObject>& objects);
  void LogUnidentified(const StorePage& page);

  GatewayState* state_;
  StoreKind kind_;
  std::function<PollTiming()> poll_timing_;
  Callbacks callbacks_;
  HttpConnection connection_;
  RelayedListView view_;
  uint64_t newest_object_revision_ = 0;
  asio::steady_timer pause_;
  uint32_t failures_ = 0;  // consecutive
  uint32_t relists_ = 0;   // since the latest watch that succeeded
  Timestamp called_at_{};
  Duration call_wait_{};
  Timestamp last_failed_call_at_{};
  std::optional<Timestamp> confirmed_at_;
  std::optional<Timestamp> known_since_;
  std::optional<Timestamp> suspended_since_;
  bool suspends_after_failure_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_STORE_WATCHER_H_
