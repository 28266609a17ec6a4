#ifndef TEASELTHREAD_GATEWAY_FRONT_CONNECTION_H_
#define TEASELTHREAD_GATEWAY_FRONT_CONNECTION_H_

#include <optional>
#include <string>

#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/gateway/request_handler.h"

namespace teaselthread {

// One caller's connection: reads requests one at a time within the configured
// bounds and passes each to the request handler.
class FrontConnection : public std::enable_shared_from_this<FrontConnection> {
 public:
  FrontConnection(GatewayState* state,
                  RequestHandler* handler,
                  tcp::socket socket);

  asio::awaitable<void> Run();
  // Closes the connection unless a request is in progress on it.
  void CloseIfIdle();
  // Closes the connection in such a way that the caller sees an error.
  void Reset();

 private:
  using Parser = http::request_parser<http::string_body>;

  // Returns false if the connection is to be closed.
  asio::awaitable<bool> ServeNextRequest();
  // Whether the caller has sent bytes that have not been processed.
  bool HasInput() const;
  asio::awaitable<bool> AwaitBytes(Duration timeout);
  // Returns a reason if the request cannot be served; the connection is then
  // closed.
  // Reserves memory for the body in `memory` before it is read.
  asio::awaitable<std::optional<RefusalReason>> ReadRequest(
      Parser& parser,
      BufferQuota::Reservation& memory);
  // Reads the body. Returns false if there is no memory for it.
  asio::awaitable<bool> ReadBody(Parser& parser,
                                 BufferQuota::Reservation& memory,
                                 boost::system::error_code* failure);
  asio::awaitable<void> RefuseUnread(RefusalReason reason);

  GatewayState* state_;
  RequestHandler* handler_;
  tcp::socket socket_;
  beast::flat_buffer buffer_;
  bool is_idle_ = true;
  bool caller_disconnected_ = false;
  bool is_aborted_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_FRONT_CONNECTION_H_
