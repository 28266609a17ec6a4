#ifndef TEASELTHREAD_STORE_STORE_WATCHER_H_
#define TEASELTHREAD_STORE_STORE_WATCHER_H_

#include <functional>
#include <vector>

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/http_connection.h"

namespace teaselthread {

// Tracks the objects of one kind in the platform's store: lists them, then
// watches for changes by long polling, and lists them again if the store no
// longer holds the history from the last known revision on.
class StoreWatcher {
 public:
  // Receives all objects of a list, or the changed ones. `requested_at` is the
  // time of the call, on the clock that counts suspension; the response
  // describes the state of the store at that time or later.
  using ObjectsCallback =
      std::function<void(const std::vector<StoreObject>& objects,
                         Timestamp requested_at)>;
  struct Callbacks {
    ObjectsCallback on_list;
    ObjectsCallback on_changes;
    // Called when the calls begin to fail, and when they succeed again.
    std::function<void(bool reachable)> on_reachability_changed;
  };

  // Timing of the calls. Queried before each watch call and each pause.
  struct PollTiming {
    Duration wait{};         // how long a watch call waits for changes
    Duration batch_delay{};  // pause after a change, to batch further ones
    Duration max_backoff{};  // longest pause after a failed call
  };

  StoreWatcher(GatewayState* state,
               StoreKind kind,
               std::function<PollTiming()> poll_timing,
               Callbacks callbacks);

  void Start();
  // Repeats a call in progress on a new connection, with the poll timing that
  // applies now, and ends a pause after a failure. Used if another connection
  // to the store has failed, so that this one may be dead as well, or if a peer
  // has announced a change.
  void Reconnect();
  // If set, no further calls are made after a failure until Reconnect is
  // called.
  void SuspendAfterFailure(bool suspend) { suspends_after_failure_ = suspend; }
  StoreKind kind() const { return kind_; }
  bool is_unreachable() const { return failures_ > 0; }
  // The revision of the store up to which all changes are known.
  uint64_t revision() const { return revision_; }
  // The highest revision of an object that was received.
  uint64_t newest_object_revision() const { return newest_object_revision_; }
  // When the call in progress was made; empty between calls.
  std::optional<Timestamp> waiting_since() const {
    return connection_.busy() ? std::optional(called_at_) : std::nullopt;
  }
  // When the most recent of the failed calls was made.
  Timestamp last_failed_call_at() const { return last_failed_call_at_; }

 private:
  enum class CallResult { kDone, kRetry, kRelist, kFailed };

  asio::awaitable<void> Run();
  asio::awaitable<CallResult> List();
  asio::awaitable<CallResult> Watch();
  asio::awaitable<Result<HttpReply>> Get(std::string target, Duration timeout);
  asio::awaitable<void> Backoff();
  // Classifies a call that ended without a usable response.
  CallResult OnCallError(const Error& reason);
  CallResult OnFailure(const std::string& detail);
  void OnSuccess(const std::vector<StoreObject>& objects);

  GatewayState* state_;
  StoreKind kind_;
  std::function<PollTiming()> poll_timing_;
  Callbacks callbacks_;
  HttpConnection connection_;
  uint64_t revision_ = 0;
  uint64_t newest_object_revision_ = 0;
  asio::steady_timer pause_;
  uint32_t failures_ = 0;  // consecutive
  Timestamp called_at_{};
  Timestamp last_failed_call_at_{};
  bool suspends_after_failure_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_STORE_WATCHER_H_
