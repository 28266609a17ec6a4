#ifndef TEASELTHREAD_GATEWAY_FRONT_CONNECTION_H_
#define TEASELTHREAD_GATEWAY_FRONT_CONNECTION_H_

#include <memory>
#include <optional>
#include <string>

#include "libteaselthread/callers/connection_end.h"
#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/requests/request_handler.h"

namespace teaselthread {

// One caller's connection: reads requests one at a time within the configured
// bounds and passes each to the request handler.
class FrontConnection : public std::enable_shared_from_this<FrontConnection> {
 public:
  // `id` is the connection's id in GatewayState::caller_connections().
  FrontConnection(GatewayState* state,
                  RequestHandler* handler,
                  tcp::socket socket,
                  CallerConnections::Id id);

  asio::awaitable<void> Run();
  // Closes the connection unless a request is in progress on it.
  void CloseIfIdle();
  // Closes the connection in an orderly way. No request may be in progress.
  void Close();
  // Closes the connection as the process exits: in such a way that the caller
  // sees an error, unless the last response is complete.
  void CloseForExit();

 private:
  // Closes the connection in such a way that the caller sees an error.
  void Reset();
  // Returns false if the connection is to be closed.
  asio::awaitable<bool> ServeNextRequest();
  // Whether the caller has sent bytes that have not been processed.
  bool HasInput() const;
  // Waits for the first bytes of a request, without a buffer for them.
  asio::awaitable<bool> AwaitBytes(Duration timeout);
  asio::awaitable<void> RefuseUnread(RefusalReason reason);
  ResponseWriter::Options WriterOptions(const CallerHttpRequest& message,
                                        const std::string& caller);
  void SetState(CallerConnections::State state);
  // Whether part of the last response may still be on its way.
  bool MayHaveUnreadResponse();
  // Waits until the caller has the whole last response, for a limited time.
  asio::awaitable<void> AwaitDelivery();
  // Counts how the connection ends and, if the caller may not have the whole
  // last response, logs it.
  void RecordEnd(ConnectionEnd end);

  GatewayState* state_;
  RequestHandler* handler_;
  tcp::socket socket_;
  CallerConnections::Id id_;
  beast::flat_buffer buffer_;
  bool is_idle_ = true;
  bool is_aborted_ = false;
  bool is_ending_ = false;  // the last response is complete
  // Set once it is known, before the connection is closed.
  std::optional<ConnectionEnd> end_;
  std::string last_request_id_;  // empty before the first request
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_FRONT_CONNECTION_H_
