#ifndef TEASELTHREAD_HTTP_RESPONSE_HEAD_H_
#define TEASELTHREAD_HTTP_RESPONSE_HEAD_H_

#include <optional>

#include "teaselthread/asio.h"

namespace teaselthread {

// Number of 1xx responses that may precede the final one.
inline constexpr int kMaxInformationalResponses = 16;

// Whether `head` is that of an informational response, which has no body and is
// followed by another response.
inline bool IsInformational(const http::response_header<>& head) {
  return http::to_status_class(head.result_int()) ==
         http::status_class::informational;
}

// Checks what the parser accepts and a response to a request of this program
// cannot have. Returns no error if the head is valid, and otherwise one of
// http::error.
boost::system::error_code CheckResponseHead(
    const http::response_header<>& head);

// Reads a head that the parser accepts and that has no folded lines.
asio::awaitable<boost::system::error_code> ReadUnfoldedHead(
    tcp::socket& socket,
    beast::flat_buffer& buffer,
    http::basic_parser<false>& parser);

// Reads the head of the next response, which may be an informational one.
// Returns an error of the connection, of ReadUnfoldedHead, or of
// CheckResponseHead. Whoever reads responses reads their heads by this
// function, so that all have the same notion of a valid one.
template <typename Body>
asio::awaitable<boost::system::error_code> ReadResponseHead(
    tcp::socket& socket,
    beast::flat_buffer& buffer,
    http::response_parser<Body>& parser) {
  const boost::system::error_code failure =
      co_await ReadUnfoldedHead(socket, buffer, parser);
  co_return failure ? failure : CheckResponseHead(parser.get().base());
}

// Reads the head of the next final response into a new parser.
template <typename Body>
asio::awaitable<boost::system::error_code> ReadFinalResponseHead(
    tcp::socket& socket,
    beast::flat_buffer& buffer,
    uint64_t max_body_bytes,
    std::optional<http::response_parser<Body>>& parser) {
  for (int i = 0; i <= kMaxInformationalResponses; ++i) {
    parser.emplace();
    parser->body_limit(max_body_bytes);
    const boost::system::error_code failure =
        co_await ReadResponseHead(socket, buffer, *parser);
    if (failure || !IsInformational(parser->get()))
      co_return failure;
  }
  co_return http::error::bad_status;
}

}  // namespace teaselthread

#endif  // TEASELTHREAD_HTTP_RESPONSE_HEAD_H_
