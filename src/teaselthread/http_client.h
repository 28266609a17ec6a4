#ifndef TEASELTHREAD_HTTP_CLIENT_H_
#define TEASELTHREAD_HTTP_CLIENT_H_

#include <string>

#include "libteaselthread/error.h"
#include "libteaselthread/settings.h"
#include "teaselthread/asio.h"

namespace teaselthread {

struct HttpReply {
  int status = 0;
  std::string body;
};

// Connects to an IP number and port.
asio::awaitable<Result<tcp::socket>> Connect(SocketAddress address,
                                             Duration timeout);

struct HttpExchange {
  HttpReply reply;
  bool keep_alive = false;  // whether the connection can take another call
};

// One call on an open connection. Fails with kTimeout or kConnectionLost, after
// which the connection is of no use.
asio::awaitable<Result<HttpExchange>> ExchangeOn(tcp::socket& socket,
                                                 SocketAddress address,
                                                 http::verb method,
                                                 std::string target,
                                                 std::string body,
                                                 Duration timeout);

// One call on a connection of its own. Fails with kUnavailable if no
// connection could be made, with kTimeout or kConnectionLost after that.
asio::awaitable<Result<HttpReply>> HttpCall(SocketAddress address,
                                            http::verb method,
                                            std::string target,
                                            std::string body,
                                            Duration timeout);

}  // namespace teaselthread

#endif  // TEASELTHREAD_HTTP_CLIENT_H_
