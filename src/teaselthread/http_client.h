#ifndef TEASELTHREAD_HTTP_CLIENT_H_
#define TEASELTHREAD_HTTP_CLIENT_H_

#include <memory>
#include <string>

#include "libteaselthread/error.h"
#include "libteaselthread/settings.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Limit on what a client buffers of a head, chunk header or trailer that is not
// complete.
inline constexpr size_t kMaxFramingBytes = size_t{64} * 1024;

// Whether `status` is a 2xx status code.
constexpr bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

struct HttpReply {
  int status = 0;
  std::string body;
  // Of the header; shared, since assigning fields may throw.
  std::shared_ptr<const http::fields> fields;
};

// Connects to an IP address and port.
asio::awaitable<Result<tcp::socket>> Connect(SocketAddress address,
                                             Duration timeout);

struct HttpExchange {
  HttpReply reply;
  bool keep_alive = false;  // whether the connection can take another call
};

// Makes one call on an open connection. Fails with kTimeout or kConnectionLost,
// after which the connection can't be used again.
asio::awaitable<Result<HttpExchange>> ExchangeOn(tcp::socket& socket,
                                                 SocketAddress address,
                                                 http::verb method,
                                                 std::string target,
                                                 std::string body,
                                                 Duration timeout);

// Makes one call on a new connection. Fails with kUnavailable if no connection
// could be established, and with kTimeout or kConnectionLost after that.
asio::awaitable<Result<HttpReply>> HttpCall(SocketAddress address,
                                            http::verb method,
                                            std::string target,
                                            std::string body,
                                            Duration timeout);

}  // namespace teaselthread

#endif  // TEASELTHREAD_HTTP_CLIENT_H_
