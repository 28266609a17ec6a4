#include "client.h"

#include <charconv>

namespace review {
namespace {

// Reads "id: N" and the first word of "data: WORD ..." of each whole event.
void ReadEvents(std::string_view body, AttemptAnswer* answer) {
  constexpr std::string_view kId = "id: ";
  constexpr std::string_view kData = "data: ";
  for (size_t end = body.find("\n\n"); end != std::string_view::npos;
       end = body.find("\n\n")) {
    std::string_view event = body.substr(0, end);
    body.remove_prefix(end + 2);
    const size_t data = event.find(kData);
    if (!event.starts_with(kId) || data == std::string_view::npos)
      continue;
    int id = 0;
    std::from_chars(event.data() + kId.size(), event.data() + event.size(), id);
    std::string_view version = event.substr(data + kData.size());
    version = version.substr(0, version.find(' '));
    answer->events.emplace_back(id, std::string(version));
  }
}

std::string Describe(const AttemptAnswer& answer) {
  std::string text = "status " + std::to_string(answer.status) +
                     (answer.is_complete ? ", complete" : ", not complete");
  if (!answer.retry_after.empty())
    text += ", Retry-After " + answer.retry_after;
  std::string version;
  for (const auto& [id, of] : answer.events) {
    if (of != version)
      text += ", from event " + std::to_string(id) + " " + of;
    version = of;
  }
  if (!answer.events.empty())
    text += ", last event " + std::to_string(answer.events.back().first);
  return text;
}

}  // namespace

asio::awaitable<AttemptAnswer> Send(asio::io_context& io,
                                    Record& record,
                                    uint16_t front,
                                    Attempt attempt) {
  record.Line("sent " + attempt.id + " to port " + std::to_string(front) + " " +
              attempt.path + " last event " +
              std::to_string(attempt.last_event) + " resumes " +
              attempt.resumes + " parts " + attempt.parts);
  AttemptAnswer answer;
  tcp::socket socket(io);
  asio::steady_timer limit(io, attempt.time_left);
  limit.async_wait([&socket](const boost::system::error_code& failure) {
    boost::system::error_code ignored;
    if (!failure)
      socket.close(ignored);
  });
  http::request<http::string_body> request(http::verb::post, attempt.path, 11);
  request.set(http::field::host, attempt.host);
  request.set("X-Teaselthread-Request-Id", attempt.id);
  request.set("X-Teaselthread-Request-Deadline",
              std::to_string(attempt.time_left.count()));
  if (!attempt.key.empty())
    request.set("X-Teaselthread-Key", attempt.key);
  if (!attempt.parts.empty()) {
    request.set("X-Teaselthread-Prompt-Prefix", attempt.parts);
    request.set("X-Teaselthread-Model", "m");
    request.set("X-Teaselthread-Token-Usage", "1460,80");
  }
  if (attempt.last_event > 0)
    request.set("Last-Event-Id", std::to_string(attempt.last_event));
  if (!attempt.resumes.empty())
    request.set("Resumes", attempt.resumes);
  request.body() = "{}";
  request.prepare_payload();
  auto [connect_failure] =
      co_await socket.async_connect(Loopback(front), kAsTuple);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.eager(true);
  boost::system::error_code failure = connect_failure;
  if (!failure) {
    auto [write_failure, written] =
        co_await http::async_write(socket, request, kAsTuple);
    failure = write_failure;
  }
  while (!failure && !parser.is_done()) {
    auto [read_failure, count] =
        co_await http::async_read_some(socket, buffer, parser, kAsTuple);
    failure = read_failure;
  }
  limit.cancel();
  if (parser.is_header_done()) {
    answer.status = static_cast<int>(parser.get().result_int());
    const auto retry_after = parser.get()[http::field::retry_after];
    answer.retry_after = {retry_after.data(), retry_after.size()};
    answer.body = parser.get().body();
    ReadEvents(answer.body, &answer);
  }
  answer.is_complete = parser.is_done();
  record.Line("answered " + attempt.id + ": " + Describe(answer));
  co_return answer;
}

std::string MakeConfiguration(double cold_start_s, double cold_per_s) {
  const auto route = [](const std::string& name, const std::string& kind,
                        const std::string& service, int timeout_ms,
                        const std::string& more) {
    return R"({"name":")" + name + R"(","host":"shop.example",)" +
           R"("path_prefix":"/)" + name + R"(/","kind":")" + kind +
           R"(","service":")" + service + R"(","timeout_ms":)" +
           std::to_string(timeout_ms) +
           R"(,"slo_ms":1000,"priority":0,"public":false,)" + more + "}";
  };
  return R"({"version":7,"routes":[)" +
         route("chat", "streaming", "pool", 12'000,
               R"("max_attempts":2,"session_affinity":true,"resumable":true,)"
               R"("gap_slo_ms":600)") +
         "," +
         route("order", "non_idempotent", "desk", 1'500,
               R"("max_attempts":1,"gap_slo_ms":0)") +
         "," +
         route("list", "idempotent", "desk", 1'500,
               R"("max_attempts":2,"gap_slo_ms":0)") +
         R"(],"services":[{"name":"pool","health_path":"/health",)"
         R"("max_conns":360,"protocol":"h1","tls":false,"cold_start_s":)" +
         std::to_string(cold_start_s) + R"(,"cold_per_s":)" +
         std::to_string(cold_per_s) +
         R"(,"engine":{"slots":64,"kv_capacity":455169}},)"
         R"({"name":"desk","health_path":"/health","max_conns":100,)"
         R"("protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"office","api_keys":["key-1"],"priority":1}]})";
}

}  // namespace review
