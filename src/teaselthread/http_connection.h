#ifndef TEASELTHREAD_HTTP_CONNECTION_H_
#define TEASELTHREAD_HTTP_CONNECTION_H_

#include <optional>
#include <string>

#include "teaselthread/http_client.h"

namespace teaselthread {

// A persistent connection to one address. It is kept open between calls and is
// re-established after a failed call. Handles one call at a time: a call that
// is made while another one is in progress waits until that one has ended.
class HttpConnection {
 public:
  explicit HttpConnection(SocketAddress address)
      : address_(std::move(address)) {}

  const SocketAddress& address() const { return address_; }
  bool busy() const { return busy_; }
  // Errors as for HttpCall.
  asio::awaitable<Result<HttpReply>> Get(std::string target, Duration timeout);
  asio::awaitable<Result<HttpReply>> Call(http::verb method,
                                          std::string target,
                                          std::string body,
                                          Duration timeout);
  // Makes the next call use a new connection. A call in progress ends with
  // kSuperseded.
  void Reconnect();

 private:
  asio::awaitable<void> WaitUntilIdle() const;
  asio::awaitable<Result<HttpReply>> TryCall(http::verb method,
                                             std::string target,
                                             std::string body,
                                             Duration timeout);

  SocketAddress address_;
  std::optional<tcp::socket> socket_;
  bool busy_ = false;
  bool superseded_ = false;  // whether Reconnect ended the call in progress
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_HTTP_CONNECTION_H_
