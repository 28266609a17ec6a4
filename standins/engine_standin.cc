// Stand-in for a model engine. POST /v1/chat/completions responds with a stream
// of events if "stream" is true; X-Resume-From is the number of events to skip.
// The text depends only on the request id. A chat counts as a cache hit if this
// engine has served it before. GET /load returns the current load, GET /stats
// the counters. POST /fault?KEY=N injects a fault:
//   cold=1         report a cold start and record the peak of running requests
//   cut_after=N    reset the connection of the next stream after N events
//   hang=N         stall the next N streams after their first event
//   cross=N        send another request's id in the next N streams
#include <algorithm>
#include <boost/json.hpp>
#include <set>

#include "standin_main.h"
#include "standin_server.h"

namespace teaselthread::standins {
namespace {

namespace json = boost::json;

constexpr int kHttp11 = 11;

class Engine {
 public:
  Engine(uint32_t token_interval_ms, uint32_t event_count)
      : token_interval_(token_interval_ms), event_count_(event_count) {}

  asio::awaitable<void> Handle(Exchange exchange) {
    const std::string path = exchange.Path();
    if (path == "/load") {
      co_await exchange.Respond(200, Load());
    } else if (path == "/stats") {
      co_await exchange.Respond(200, Stats());
    } else if (path == "/fault") {
      cold_ = exchange.Number("cold", cold_ ? 1 : 0) != 0;
      cut_after_ = exchange.Number("cut_after", cut_after_);
      hang_ = exchange.Number("hang", hang_);
      cross_ = exchange.Number("cross", cross_);
      co_await exchange.Respond(200, "{}");
    } else {
      co_await OnCompletionRequest(exchange);
    }
  }

 private:
  static std::string Serialize(const json::object& object) {
    return json::serialize(object);
  }

  std::string Load() const {
    return Serialize({{"running", running_}, {"cold", cold_}});
  }

  std::string Stats() const {
    return Serialize({{"started", started_},
                      {"finished", finished_},
                      {"running", running_},
                      {"max_running", max_running_},
                      {"max_running_cold", max_running_cold_},
                      {"hits", hits_}});
  }

  void CountStart(const Exchange& exchange) {
    ++started_;
    ++running_;
    max_running_ = std::max(max_running_, running_);
    if (cold_)
      max_running_cold_ = std::max(max_running_cold_, running_);
    const std::string chat = exchange.Header("X-Chat-Id");
    const bool is_hit = !chat.empty() && !chats_.insert(chat).second;
    hits_ += is_hit ? 1 : 0;
  }

  std::string FormatEvent(const std::string& request_id, uint32_t index) const {
    if (index + 1 == event_count_)
      return "data: [DONE]\n\n";
    const std::string word = request_id + ":" + std::to_string(index) + " ";
    return "data: " +
           Serialize({{"choices",
                       json::array{json::object{
                           {"delta", json::object{{"content", word}}}}}}}) +
           "\n\n";
  }

  asio::awaitable<void> OnCompletionRequest(Exchange exchange) {
    CountStart(exchange);
    boost::system::error_code failure;
    const json::value body = json::parse(exchange.request.body(), failure);
    const json::object* fields = failure ? nullptr : body.if_object();
    const json::value* stream =
        fields ? fields->if_contains("stream") : nullptr;
    if (stream && stream->is_bool() && stream->get_bool())
      co_await Stream(exchange);
    else
      co_await SendCompletion(exchange);
    --running_;
  }

  asio::awaitable<void> SendCompletion(Exchange exchange) {
    co_await Sleep(event_count_ * token_interval_);
    ++finished_;
    co_await exchange.Respond(
        200, FormatCompletion(exchange.Header("X-Request-Id")));
  }

  static std::string FormatCompletion(const std::string& content) {
    const json::object message{{"role", "assistant"}, {"content", content}};
    const json::array choices{json::object{{"message", message}}};
    return Serialize({{"choices", choices}});
  }

  asio::awaitable<void> Stream(Exchange exchange) {
    std::string id = exchange.Header("X-Request-Id");
    const std::string response_id = cross_ > 0 ? "crossed-" + id : id;
    cross_ -= cross_ > 0 ? 1 : 0;
    const std::string resume = exchange.Header("X-Resume-From");
    const uint32_t first =
        static_cast<uint32_t>(std::strtoul(resume.c_str(), nullptr, 10));
    const uint64_t cut_after = std::exchange(cut_after_, 0);
    const bool stalls = hang_ > 0;
    hang_ -= stalls ? 1 : 0;
    http::response<http::empty_body> head(http::status::ok, kHttp11);
    head.set(http::field::content_type, "text/event-stream");
    head.set("X-Request-Id", response_id);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    co_await Sleep(token_interval_);
    co_await http::async_write_header(exchange.socket, serializer, kAsTuple);
    for (uint32_t index = first; index < event_count_; ++index) {
      if (cut_after > 0 && index - first >= cut_after) {
        exchange.Reset();
        co_return;
      }
      if (stalls && index > first) {
        co_await Sleep(std::chrono::seconds(60));
        exchange.Reset();
        co_return;
      }
      // Counted before the last event is sent, because a caller may request
      // /stats as soon as it has received it.
      finished_ += index + 1 == event_count_ ? 1 : 0;
      const std::string event = FormatEvent(id, index);
      const auto chunk = http::make_chunk(asio::buffer(event));
      auto [failure, count] =
          co_await asio::async_write(exchange.socket, chunk, kAsTuple);
      if (failure)
        co_return;
      co_await Sleep(token_interval_);
    }
    const auto last = http::make_chunk_last();
    co_await asio::async_write(exchange.socket, last, kAsTuple);
  }

  std::chrono::milliseconds token_interval_;
  uint32_t event_count_;  // including [DONE]
  uint64_t started_ = 0;
  uint64_t finished_ = 0;
  uint64_t running_ = 0;
  uint64_t max_running_ = 0;
  uint64_t max_running_cold_ = 0;
  uint64_t hits_ = 0;
  uint64_t cut_after_ = 0;
  uint64_t hang_ = 0;
  uint64_t cross_ = 0;
  bool cold_ = false;
  std::set<std::string> chats_;
};

}  // namespace

int RunEngine(uint16_t port, uint32_t token_interval_ms, uint32_t event_count) {
  asio::io_context io(1);
  Engine engine(token_interval_ms, event_count);
  return Serve(io, port,
               [&](Exchange exchange) { return engine.Handle(exchange); });
}

}  // namespace teaselthread::standins
