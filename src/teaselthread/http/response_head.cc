#include "teaselthread/http/response_head.h"

#include <string_view>

#include "teaselthread/http/message_framing.h"

namespace teaselthread {
namespace {

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr size_t kReadBytes = size_t{64} * 1024;

// `bytes` are whole lines. The parser joins a line that begins with white space
// to the field before it, so that its result does not show such lines.
bool HasFoldedLine(std::string_view bytes) {
  return bytes.find("\n ") != std::string_view::npos ||
         bytes.find("\n\t") != std::string_view::npos;
}

// No request asks for another protocol, so none is switched to.
bool HasValidStatus(const http::response_header<>& head) {
  const unsigned status = head.result_int();
  return status >= kMinStatus && status <= kMaxStatus &&
         head.result() != http::status::switching_protocols;
}

bool AnnouncesBody(const http::response_header<>& head) {
  const auto length = head.find(http::field::content_length);
  return head.find(http::field::transfer_encoding) != head.end() ||
         (length != head.end() && length->value() != "0");
}

}  // namespace

asio::awaitable<boost::system::error_code> ReadUnfoldedHead(
    tcp::socket& socket,
    beast::flat_buffer& buffer,
    http::basic_parser<false>& parser) {
  while (!parser.is_header_done()) {
    boost::system::error_code failure = http::error::need_more;
    if (buffer.size() > 0) {
      const auto bytes = buffer.cdata();
      // The parser takes a field together with the lines folded into it.
      const size_t used = parser.put(bytes, failure);
      if (HasFoldedLine({static_cast<const char*>(bytes.data()), used}))
        co_return http::error::bad_field;
      buffer.consume(used);
    }
    if (failure == http::error::need_more) {
      const size_t room = beast::read_size(buffer, kReadBytes);
      if (room == 0)
        co_return http::error::buffer_overflow;
      auto [read_failure, count] =
          co_await socket.async_read_some(buffer.prepare(room), kAsTuple);
      buffer.commit(count);
      failure = read_failure;
    }
    if (failure)
      co_return failure;
  }
  co_return boost::system::error_code();
}

boost::system::error_code CheckResponseHead(
    const http::response_header<>& head) {
  if (!HasValidStatus(head))
    return http::error::bad_status;
  if (!HasUnambiguousFraming(head))
    return http::error::bad_transfer_encoding;
  // The bytes of the body would be taken for the next response.
  if (IsInformational(head) && AnnouncesBody(head))
    return http::error::bad_content_length;
  return {};
}

}  // namespace teaselthread
