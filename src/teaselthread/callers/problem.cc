#include "teaselthread/callers/problem.h"

#include <boost/json.hpp>

namespace teaselthread {
namespace {

namespace json = boost::json;

constexpr int kHttp11 = 11;
constexpr int kNotFoundStatus = 404;

struct Problem {
  int status;
  std::string type;
  std::string run;
  std::string detail;
};

http::response<http::string_body> Render(const Problem& problem) {
  http::response<http::string_body> response(
      static_cast<http::status>(problem.status), kHttp11);
  response.set(http::field::content_type, "application/problem+json");
  json::object body;
  body["type"] = "urn:teaselthread:" + problem.type;
  body["title"] = problem.type;
  body["status"] = problem.status;
  body["run"] = problem.run;
  if (!problem.detail.empty())
    body["detail"] = problem.detail;
  response.body() = json::serialize(body) + "\n";
  return response;
}

http::response<http::string_body> RenderRefusal(const RefusedNotRun& refusal,
                                                const std::string& run,
                                                const std::string& detail) {
  http::response<http::string_body> response =
      Render({HttpStatus(refusal.reason), std::string(ToString(refusal.reason)),
              run, detail});
  if (refusal.retry_after == Duration::zero())
    return response;
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(refusal.retry_after);
  response.set(http::field::retry_after, std::to_string(seconds.count()));
  response.set("X-Retry-After-Ms", std::to_string(milliseconds.count()));
  return response;
}

}  // namespace

http::response<http::string_body> MakeProblem(const RefusedNotRun& refusal) {
  return RenderRefusal(refusal, "not-run", "");
}

http::response<http::string_body> MakeUnreadProblem(
    const RefusedNotRun& refusal,
    const std::string& detail) {
  return RenderRefusal(refusal, "not-read", detail);
}

http::response<http::string_body> MakeProblem(const MayHaveRun& unknown) {
  return Render({HttpStatus(unknown.reason),
                 std::string(ToString(unknown.reason)), "may-have-run", ""});
}

http::response<http::string_body> MakeNotFound(const std::string& path) {
  return Render({kNotFoundStatus, "unknown-path", "not-read", path});
}

}  // namespace teaselthread
