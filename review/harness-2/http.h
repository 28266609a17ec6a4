#ifndef REVIEW_HARNESS_2_HTTP_H_
#define REVIEW_HARNESS_2_HTTP_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sockets.h"

namespace review {

// Header fields of the deployments' protocol.
inline constexpr char kRequestId[] = "X-Teaselthread-Request-Id";
inline constexpr char kDeadline[] = "X-Teaselthread-Request-Deadline";
inline constexpr char kKey[] = "X-Teaselthread-Key";
inline constexpr char kExpectInstance[] = "X-Teaselthread-Expect-Instance";
inline constexpr char kNotExecuted[] = "X-Teaselthread-Not-Executed";
inline constexpr char kSeal[] = "X-Teaselthread-Server-Seal";

using Fields = std::vector<std::pair<std::string, std::string>>;

// The head of a request or response.
struct Head {
  std::string start_line;
  Fields fields;

  // The first value of the field; empty if it is absent.
  std::string Find(std::string_view name) const;
  // Of a request.
  std::string Method() const;
  std::string Target() const;
  // Of a response; 0 if the start line is not a response's.
  int Status() const;
};

// How the body of a response ended.
enum class BodyEnd { kComplete, kClosed, kReset, kTimeout, kMalformed };
std::string_view ToString(BodyEnd end);

struct Response {
  Head head;
  std::string body;
  BodyEnd end = BodyEnd::kMalformed;
};

// Empty if the connection ended first, or if what came is no head.
std::optional<Head> ReadHead(Connection& connection, ReadEnd* ended);
// Reads the body that the head announces. `has_body`: false for responses to
// HEAD requests.
Response ReadResponse(Connection& connection, bool has_body = true);
std::string ReadRequestBody(Connection& connection, const Head& head);

std::string EncodeHead(const std::string& start_line, const Fields& fields);
std::string EncodeMessage(const std::string& start_line,
                          Fields fields,
                          const std::string& body);

}  // namespace review

#endif  // REVIEW_HARNESS_2_HTTP_H_
