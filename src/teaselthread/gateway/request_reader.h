#ifndef TEASELTHREAD_GATEWAY_REQUEST_READER_H_
#define TEASELTHREAD_GATEWAY_REQUEST_READER_H_

#include <optional>

#include "libteaselthread/callers/body_rate.h"
#include "libteaselthread/callers/read_pacing.h"
#include "teaselthread/gateway/gateway_state.h"
#include "teaselthread/io_timeout.h"
#include "teaselthread/requests/request_handler.h"

namespace teaselthread {

// Reads one request from a caller's connection within the configured bounds.
// Counts the bytes that have arrived against the memory for bodies, slows down
// senders of very small pieces, and ends those that send too slowly.
class RequestReader {
 public:
  // `buffer` holds what was read before, and afterwards what belongs to the
  // next request. Both must outlive the reader.
  RequestReader(GatewayState* state,
                tcp::socket* socket,
                beast::flat_buffer* buffer,
                const ConnectionBounds& bounds);

  // Returns a reason if the request cannot be served. The connection is then to
  // be closed, as the rest of the request is unread.
  asio::awaitable<std::optional<RefusalReason>> Read();
  // Whether the caller closed the connection; nothing can be sent to it.
  bool caller_disconnected() const { return caller_disconnected_; }
  const CallerHttpRequest& message() const { return parser_.get(); }
  // Name of the customer, or the address if the request has no valid key.
  const std::string& caller() const { return caller_; }

 private:
  using Parser = http::request_parser<http::string_body>;

  asio::awaitable<std::optional<RefusalReason>> ReadBody(IoTimeout& limit);
  // Parses what has arrived, and reads more if that is not enough. Returns
  // false and sets failure_ on an error.
  asio::awaitable<bool> Step();
  asio::awaitable<bool> ReadMore();
  // Counts what is held. Returns false if there is no memory for it.
  bool CountHeldBytes();
  void IdentifyCaller();
  std::optional<RefusalReason> ReasonOfFailure();

  GatewayState* state_;
  tcp::socket* socket_;
  beast::flat_buffer* buffer_;
  ConnectionBounds bounds_;
  Parser parser_;
  std::string caller_;
  BufferQuota::Reservation memory_;
  ReadPacing pacing_;
  size_t body_wire_bytes_ = 0;
  boost::system::error_code failure_;
  bool lost_memory_ = false;
  bool caller_disconnected_ = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_GATEWAY_REQUEST_READER_H_
