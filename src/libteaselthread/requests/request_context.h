#ifndef TEASELTHREAD_REQUESTS_REQUEST_CONTEXT_H_
#define TEASELTHREAD_REQUESTS_REQUEST_CONTEXT_H_

#include <compare>
#include <optional>
#include <string>

#include "libteaselthread/configuration.h"
#include "libteaselthread/endpoint.h"

namespace teaselthread {

// A caller's request, as read from the caller's connection.
struct CallerRequest {
  std::string id;  // unique in the fleet
  std::string customer;
  std::string profile;
  std::string chat;  // empty if no later turn is expected
  std::string hint;  // endpoint that served the previous turn, or empty
  EndpointKind kind = EndpointKind::kModelEngine;
  std::string target;  // model or service
  std::string method;
  std::string path;  // at the endpoint, including the query
  std::string content_type;
  std::string body;
  std::string idempotency_key;
  bool streamed = false;
  // Time left until the deadline, if the caller or a peer has set one.
  std::optional<Duration> remaining;

  friend auto operator<=>(const CallerRequest&, const CallerRequest&) = default;
};

// A request and what the filters have determined about it.
struct RequestContext {
  CallerRequest request;
  std::optional<Profile> profile;
  Timestamp deadline{};
  bool counted_by_limiter = false;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_REQUESTS_REQUEST_CONTEXT_H_
