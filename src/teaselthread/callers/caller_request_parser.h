#ifndef TEASELTHREAD_CALLERS_CALLER_REQUEST_PARSER_H_
#define TEASELTHREAD_CALLERS_CALLER_REQUEST_PARSER_H_

#include <string_view>

#include "libteaselthread/error.h"
#include "libteaselthread/requests/request_context.h"
#include "teaselthread/asio.h"

namespace teaselthread {

inline constexpr std::string_view kChatPath = "/v1/chat/completions";
inline constexpr std::string_view kServicesPath = "/services/";

// Parse a chat request or a service call. Errors: kMalformed, with what was
// expected as the detail. The returned request has no id yet.
Result<CallerRequest> ParseChat(
    const http::request<http::string_body>& message);
Result<CallerRequest> ParseServiceCall(
    const http::request<http::string_body>& message);

}  // namespace teaselthread

#endif  // TEASELTHREAD_CALLERS_CALLER_REQUEST_PARSER_H_
