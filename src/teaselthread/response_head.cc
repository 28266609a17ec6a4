#include "teaselthread/response_head.h"

namespace teaselthread {
namespace {

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

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

boost::system::error_code CheckResponseHead(
    const http::response_header<>& head) {
  if (!HasValidStatus(head))
    return http::error::bad_status;
  // The bytes of the body would be taken for the next response.
  if (IsInformational(head) && AnnouncesBody(head))
    return http::error::bad_content_length;
  return {};
}

}  // namespace teaselthread
