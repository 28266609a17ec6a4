#ifndef TEASELTHREAD_STORE_STORE_WATCHER_H_
#define TEASELTHREAD_STORE_STORE_WATCHER_H_

#include <functional>
#include <vector>

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/http_connection.h"

namespace teaselthread {

// Follows the objects of one kind in the platform's store: lists them, then
// watches for changes, and lists again once the store has dropped the history.
class StoreWatcher {
 public:
  // Objects of a whole list, or those that have changed. `asked_at` is the
  // time of the call, on the clock that counts suspension; what the answer
  // says was true then or later.
  using OnObjects = std::function<void(const std::vector<StoreObject>& objects,
                                       Timestamp asked_at)>;
  struct Callbacks {
    OnObjects on_list;
    OnObjects on_changes;
    // The store does not answer, or answers again.
    std::function<void(bool reachable)> on_reachable;
  };

  // How often a watcher calls. Asked before each call.
  struct Pace {
    Duration wait{};          // how long one call waits for changes
    Duration gather{};        // pause after a change, to gather further ones
    Duration max_back_off{};  // between calls that fail
  };

  StoreWatcher(GatewayState* state,
               StoreKind kind,
               std::function<Pace()> pace,
               Callbacks callbacks);

  void Start();
  // Another connection to the store has failed, and this one may have gone
  // silent; or there is news of a change. A call in progress is made again, by
  // the pace of now. A pause after a failure ends.
  void Reconnect();
  // No calls are made after the next failure until Reconnect is called.
  void HoldAfterFailure(bool hold) { holds_ = hold; }
  StoreKind kind() const { return kind_; }
  bool is_lost() const { return failures_ > 0; }
  // All changes up to this revision of the store are known.
  uint64_t revision() const { return revision_; }
  // The revision of the newest change that was told of.
  uint64_t newest_change() const { return newest_change_; }
  // When the call in progress was made.
  std::optional<Timestamp> waiting_since() const {
    return connection_.busy() ? std::optional(called_at_) : std::nullopt;
  }
  // When the latest call that failed was made.
  Timestamp last_failed_call_at() const { return last_failed_call_at_; }

 private:
  enum class Step { kDone, kAskAgain, kListAgain, kFailed };

  asio::awaitable<void> Run();
  asio::awaitable<Step> List();
  asio::awaitable<Step> Watch();
  asio::awaitable<Result<HttpReply>> Get(std::string target, Duration timeout);
  asio::awaitable<void> BackOff();
  // What comes after a call that gave no answer.
  Step OnNoAnswer(const Error& reason);
  Step OnFailure(const std::string& detail);
  void OnSuccess(const std::vector<StoreObject>& objects);

  GatewayState* state_;
  StoreKind kind_;
  std::function<Pace()> pace_;
  Callbacks callbacks_;
  HttpConnection connection_;
  uint64_t revision_ = 0;
  uint64_t newest_change_ = 0;
  asio::steady_timer pause_;
  uint32_t failures_ = 0;  // in a row
  Timestamp called_at_{};
  Timestamp last_failed_call_at_{};
  bool holds_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_STORE_WATCHER_H_
