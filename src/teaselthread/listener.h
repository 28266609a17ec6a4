#ifndef TEASELTHREAD_LISTENER_H_
#define TEASELTHREAD_LISTENER_H_

#include <functional>
#include <memory>

#include "libteaselthread/error.h"
#include "libteaselthread/settings.h"
#include "teaselthread/asio.h"

namespace teaselthread {

// Accepts connections on one address.
class Listener {
 public:
  using OnConnection = std::function<void(tcp::socket)>;

  // Fails with kUnavailable if it cannot listen on the address.
  static Result<std::unique_ptr<Listener>> Start(asio::io_context* io,
                                                 const SocketAddress& address,
                                                 OnConnection on_connection);
  // Closes the listening socket; new connections are refused afterwards.
  void Stop();

 private:
  Listener(tcp::acceptor acceptor, OnConnection on_connection);
  asio::awaitable<void> AcceptLoop();

  tcp::acceptor acceptor_;
  OnConnection on_connection_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_LISTENER_H_
