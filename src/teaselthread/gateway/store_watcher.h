#ifndef TEASELTHREAD_GATEWAY_STORE_WATCHER_H_
#define TEASELTHREAD_GATEWAY_STORE_WATCHER_H_

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
  using OnObjects = std::function<
      void(const std::vector<StoreObject>& objects, Timestamp asked_at)>;
  struct Callbacks {
    OnObjects on_list;
    OnObjects on_changes;
    // The store does not answer, or answers again.
    std::function<void(bool reachable)> on_reachable;
  };

  // `wait`: how long one call waits for changes.
  StoreWatcher(GatewayState* state,
               StoreKind kind,
               Duration wait,
               Callbacks callbacks);

  void Start();
  // Another connection to the store has failed; this one may have gone silent.
  void Reconnect() { connection_.Reconnect(); }

 private:
  enum class Step { kDone, kListAgain, kFailed };

  asio::awaitable<void> Run();
  asio::awaitable<Step> List();
  asio::awaitable<Step> Watch();
  asio::awaitable<Result<HttpReply>> Get(std::string target, Duration timeout);
  asio::awaitable<void> BackOff();
  Step OnFailure(const std::string& detail);
  void OnSuccess();

  GatewayState* state_;
  StoreKind kind_;
  Duration wait_;
  Callbacks callbacks_;
  HttpConnection connection_;
  uint64_t revision_ = 0;
  uint32_t failures_ = 0;  // in a row
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_STORE_WATCHER_H_
