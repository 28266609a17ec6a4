#include "teaselthread/callers/caller_request_parser.h"

#include <boost/json.hpp>
#include <charconv>

namespace teaselthread {
namespace {

namespace json = boost::json;
using Message = http::request<http::string_body>;

constexpr size_t kMaxNameBytes = 200;
constexpr std::string_view kDefaultChatProfile = "chat";

Error Malformed(std::string detail) {
  return {ErrorCode::kMalformed, std::move(detail)};
}

std::string Header(const Message& message, std::string_view name) {
  const auto value = message[{name.data(), name.size()}];
  return std::string(value.data(), value.size());
}

// Names are written to logs, metrics and the headers of endpoint requests.
bool IsValidName(std::string_view name) {
  if (name.size() > kMaxNameBytes)
    return false;
  for (const char c : name) {
    if (c <= ' ' || c > '~' || c == '"' || c == '\\')
      return false;
  }
  return true;
}

Result<CallerRequest> ParseHeaders(const Message& message) {
  CallerRequest request;
  request.customer = Header(message, "X-Customer");
  request.profile = Header(message, "X-Profile");
  request.chat = Header(message, "X-Chat-Id");
  request.hint = Header(message, "X-Context-Hint");
  request.idempotency_key = Header(message, "Idempotency-Key");
  request.content_type = Header(message, "Content-Type");
  request.method = std::string(message.method_string());
  request.body = message.body();
  if (request.customer.empty())
    return Malformed("header X-Customer is required");
  for (const std::string* name :
       {&request.customer, &request.profile, &request.chat, &request.hint,
        &request.idempotency_key}) {
    if (!IsValidName(*name)) {
      return Malformed(
          "X-Customer, X-Profile, X-Chat-Id, X-Context-Hint and "
          "Idempotency-Key take at most 200 printable characters without "
          "spaces, quotes and backslashes");
    }
  }
  const std::string timeout = Header(message, "X-Timeout-Ms");
  if (timeout.empty())
    return request;
  uint32_t timeout_ms = 0;
  const char* end = timeout.data() + timeout.size();
  auto [stop, status] = std::from_chars(timeout.data(), end, timeout_ms);
  if (status != std::errc() || stop != end || timeout_ms == 0)
    return Malformed("header X-Timeout-Ms takes a whole number above 0");
  request.remaining = std::chrono::milliseconds(timeout_ms);
  return request;
}

}  // namespace

Result<CallerRequest> ParseChat(const Message& message) {
  Result<CallerRequest> parsed = ParseHeaders(message);
  if (!parsed)
    return parsed;
  CallerRequest request = parsed.TakeValue();
  boost::system::error_code failure;
  const json::value body = json::parse(request.body, failure);
  const json::object* object = failure ? nullptr : body.if_object();
  if (!object)
    return Malformed("the body is not a JSON object");
  const json::value* model = object->if_contains("model");
  if (!model || !model->is_string())
    return Malformed("\"model\" is not a string");
  const json::value* messages = object->if_contains("messages");
  if (!messages || !messages->is_array() || messages->get_array().empty())
    return Malformed("\"messages\" is not an array with a message");
  const json::value* stream = object->if_contains("stream");
  if (stream && !stream->is_bool())
    return Malformed("\"stream\" is not true or false");
  request.kind = EndpointKind::kModelEngine;
  request.target = std::string(model->get_string());
  request.streamed = stream && stream->get_bool();
  request.path = std::string(kChatPath);
  request.content_type = "application/json";
  if (request.profile.empty())
    request.profile = kDefaultChatProfile;
  return request;
}

Result<CallerRequest> ParseServiceCall(const Message& message) {
  Result<CallerRequest> parsed = ParseHeaders(message);
  if (!parsed)
    return parsed;
  CallerRequest request = parsed.TakeValue();
  if (request.profile.empty())
    return Malformed("header X-Profile is required");
  if (message.method() == http::verb::unknown ||
      message.method() == http::verb::connect) {
    return Malformed("this method is not forwarded");
  }
  const std::string_view target(message.target().data(),
                                message.target().size());
  const std::string_view rest = target.substr(kServicesPath.size());
  const size_t slash = rest.find('/');
  request.kind = EndpointKind::kService;
  request.target = rest.substr(0, slash);
  request.path =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  if (request.target.empty())
    return Malformed("expected /services/NAME/PATH");
  return request;
}

}  // namespace teaselthread
