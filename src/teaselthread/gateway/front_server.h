#ifndef TEASELTHREAD_GATEWAY_FRONT_SERVER_H_
#define TEASELTHREAD_GATEWAY_FRONT_SERVER_H_

#include <map>
#include <memory>

#include "teaselthread/gateway/front_connection.h"
#include "teaselthread/listener.h"

namespace teaselthread {

// Accepts callers' connections within their bound and keeps track of them.
class FrontServer {
 public:
  explicit FrontServer(GatewayState* state);

  // Fails with kUnavailable if it cannot listen on the address.
  Result<bool> Start();
  // Stops accepting new connections and closes idle ones.
  void StopAccepting();
  // Closes the connections that are still open. Those with a response in
  // progress are reset, so that callers do not take it for a complete one.
  void CloseForExit();
  RequestHandler& handler() { return handler_; }

 private:
  void OnConnection(tcp::socket socket);
  asio::awaitable<void> Serve(std::shared_ptr<FrontConnection> connection,
                              CallerConnections::Id id);
  // Closes a connection to make room for a new one.
  void CloseForRoom(const CallerConnections::Admission& admission);
  // Refuses a new connection when no other one can be closed.
  void Refuse(tcp::socket socket);

  GatewayState* state_;
  RequestHandler handler_;
  std::unique_ptr<Listener> listener_;
  std::map<CallerConnections::Id, std::shared_ptr<FrontConnection>>
      connections_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_FRONT_SERVER_H_
