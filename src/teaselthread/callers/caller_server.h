#ifndef TEASELTHREAD_CALLERS_CALLER_SERVER_H_
#define TEASELTHREAD_CALLERS_CALLER_SERVER_H_

#include <memory>
#include <string>

#include "libteaselthread/error.h"
#include "teaselthread/entry_service.h"
#include "teaselthread/listener.h"
#include "teaselthread/node_state.h"

namespace teaselthread {

using CallerHttpRequest = http::request<http::string_body>;
using CallerHttpResponse = http::response<http::string_body>;

// The HTTP server for callers: chats, service calls, address look-up, metrics,
// readiness and health.
class CallerServer {
 public:
  static Result<std::unique_ptr<CallerServer>> Start(NodeState* state,
                                                     EntryService* entry);

 private:
  CallerServer(NodeState* state, EntryService* entry);

  asio::awaitable<void> ServeConnection(tcp::socket socket);
  // Returns whether the connection can take another request.
  asio::awaitable<bool> ServeOneRequest(tcp::socket& socket,
                                        beast::flat_buffer& buffer);
  asio::awaitable<bool> Dispatch(tcp::socket& socket,
                                 const CallerHttpRequest& request);
  asio::awaitable<bool> Write(tcp::socket& socket, CallerHttpResponse response);
  CallerHttpResponse MakeAddressResponse(const CallerHttpRequest& request);
  CallerHttpResponse MakeReadyResponse() const;
  CallerHttpResponse MakeMetricsResponse() const;

  NodeState* state_;
  EntryService* entry_;
  std::unique_ptr<Listener> listener_;
  uint32_t connections_ = 0;
  uint64_t last_request_number_ = 0;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_CALLER_SERVER_H_
