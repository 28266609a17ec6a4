// A model engine: POST /v1/chat/completions answers in events, of which
// X-Resume-From skips the first ones. The text depends only on the request id.
// A chat counts as a cache hit if this engine has served it before.
// GET /load reports, GET /stats counts. POST /fault?KEY=N:
//   cold=1         report a cold start and count what exceeds one request
//   cut_after=N    break the next answer off after N events
//   hang=N         go silent in the next N answers after their first event
//   cross=N        answer the next N requests with another request's id
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
      co_await exchange.Reply(200, Load());
    } else if (path == "/stats") {
      co_await exchange.Reply(200, Stats());
    } else if (path == "/fault") {
      cold_ = exchange.Number("cold", cold_ ? 1 : 0) != 0;
      cut_after_ = exchange.Number("cut_after", cut_after_);
      hang_ = exchange.Number("hang", hang_);
      cross_ = exchange.Number("cross", cross_);
      co_await exchange.Reply(200, "{}");
    } else {
      co_await Complete(exchange);
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
    const bool is_known = !chat.empty() && !chats_.insert(chat).second;
    hits_ += is_known ? 1 : 0;
  }

  std::string EventOf(const std::string& request_id, uint32_t index) const {
    if (index + 1 == event_count_)
      return "data: [DONE]\n\n";
    const std::string word = request_id + ":" + std::to_string(index) + " ";
    return "data: " +
           Serialize({{"choices",
                       json::array{json::object{
                           {"delta", json::object{{"content", word}}}}}}}) +
           "\n\n";
  }

  asio::awaitable<void> Complete(Exchange exchange) {
    CountStart(exchange);
    boost::system::error_code failure;
    const json::value body = json::parse(exchange.request.body(), failure);
    const json::object* fields = failure ? nullptr : body.if_object();
    const json::value* stream =
        fields ? fields->if_contains("stream") : nullptr;
    if (stream && stream->is_bool() && stream->get_bool())
      co_await Stream(exchange);
    else
      co_await AnswerWhole(exchange);
    --running_;
  }

  asio::awaitable<void> AnswerWhole(Exchange exchange) {
    co_await Sleep(event_count_ * token_interval_);
    ++finished_;
    co_await exchange.Reply(200, WholeAnswer(exchange.Header("X-Request-Id")));
  }

  static std::string WholeAnswer(const std::string& content) {
    const json::object message{{"role", "assistant"}, {"content", content}};
    const json::array choices{json::object{{"message", message}}};
    return Serialize({{"choices", choices}});
  }

  asio::awaitable<void> Stream(Exchange exchange) {
    std::string id = exchange.Header("X-Request-Id");
    const std::string echoed = cross_ > 0 ? "crossed-" + id : id;
    cross_ -= cross_ > 0 ? 1 : 0;
    const std::string resume = exchange.Header("X-Resume-From");
    const uint32_t first =
        static_cast<uint32_t>(std::strtoul(resume.c_str(), nullptr, 10));
    const uint64_t cut_after = std::exchange(cut_after_, 0);
    const bool hangs = hang_ > 0;
    hang_ -= hangs ? 1 : 0;
    http::response<http::empty_body> head(http::status::ok, kHttp11);
    head.set(http::field::content_type, "text/event-stream");
    head.set("X-Request-Id", echoed);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    co_await Sleep(token_interval_);
    co_await http::async_write_header(exchange.socket, serializer, kAsTuple);
    for (uint32_t index = first; index < event_count_; ++index) {
      if (cut_after > 0 && index - first >= cut_after) {
        exchange.Drop();
        co_return;
      }
      if (hangs && index > first) {
        co_await Sleep(std::chrono::seconds(60));
        exchange.Drop();
        co_return;
      }
      // A caller may ask for the counts as soon as it has the end mark.
      finished_ += index + 1 == event_count_ ? 1 : 0;
      const std::string event = EventOf(id, index);
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
  uint32_t event_count_;  // the end mark included
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
