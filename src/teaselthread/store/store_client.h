#ifndef TEASELTHREAD_STORE_STORE_CLIENT_H_
#define TEASELTHREAD_STORE_STORE_CLIENT_H_

#include <functional>
#include <string>

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/http_connection.h"

namespace teaselthread {

// Makes calls to the platform's store for the objects of one kind, which do not
// wait for changes. Each call is counted and logged.
class StoreClient {
 public:
  // How reading all objects has ended.
  struct ListResult {
    bool is_complete = false;
    bool is_malformed = false;  // a page cannot be decoded
    int status = 0;  // of the last call; kNoResponse if it was not answered
  };

  static constexpr int kNoResponse = 0;

  // `timeout`: of each call.
  StoreClient(GatewayState* state, StoreKind kind, Duration timeout);

  // Returns the status, or kNoResponse.
  asio::awaitable<int> Call(http::verb method,
                            std::string target,
                            std::string body);
  // Replaces the object's content, or creates the object. `body`: the encoded
  // object. Returns the status, or kNoResponse.
  asio::awaitable<int> Put(std::string name, std::string body);
  // Passes all objects to `on_object`, page by page: those of the first pages
  // also if a later one cannot be read. `may_be_stale`: the store may respond
  // with a state that is some seconds old.
  asio::awaitable<ListResult> List(
      bool may_be_stale,
      std::function<void(const StoreObject&)> on_object);

 private:
  GatewayState* state_;
  StoreKind kind_;
  Duration timeout_;
  HttpConnection connection_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_STORE_STORE_CLIENT_H_
