#include "worker.h"

#include <charconv>
#include <sstream>
#include <utility>

namespace review {
namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr auto kLapse = milliseconds(3'600);  // three heartbeats
constexpr auto kWriteRetry = milliseconds(300);
constexpr std::string_view kStreamPath = "/chat/";

uint64_t UnixMs() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::string Field(const http::request<http::string_body>& request,
                  const char* name) {
  const auto value = request[name];
  return {value.data(), value.size()};
}

std::string Chunk(const std::string& text) {
  std::ostringstream chunk;
  chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
  return chunk.str();
}

asio::awaitable<bool> WriteText(tcp::socket& socket, std::string text) {
  auto [failure, count] =
      co_await asio::async_write(socket, asio::buffer(text), kAsTuple);
  co_return !failure;
}

}  // namespace

Worker::Worker(asio::io_context* io,
               Record* record,
               Store* store,
               std::vector<WorkerRun>* runs,
               Options options)
    : io_(io),
      record_(record),
      store_(store),
      runs_(runs),
      options_(std::move(options)) {}

void Worker::Start() {
  acceptor_ = std::make_shared<tcp::acceptor>(*io_);
  acceptor_->open(tcp::v4());
  acceptor_->set_option(asio::socket_base::reuse_address(true));
  acceptor_->bind(Loopback(port_));
  acceptor_->listen();
  port_ = acceptor_->local_endpoint().port();
  born_ = UnixMs();
  record_->Line("worker " + options_.id + " " + options_.version +
                ": started, born " + std::to_string(born_) + ", port " +
                std::to_string(port_));
  asio::co_spawn(*io_, Accept(acceptor_), asio::detached);
}

void Worker::Register(const std::string& state) {
  asio::co_spawn(*io_, WriteEntry(state, born_), asio::detached);
}

asio::awaitable<void> Worker::WriteEntry(std::string state, uint64_t born) {
  while (store_->is_down())
    co_await Sleep(*io_, kWriteRetry);
  if (!is_running() || born != born_)
    co_return;
  boost::json::object entry{{"service", options_.service},
                            {"address", "127.0.0.1:" + std::to_string(port_)},
                            {"zone", options_.zone},
                            {"version", options_.version},
                            {"slots", options_.slots},
                            {"state", state},
                            {"cold_left_ms", options_.cold_left.count()},
                            {"sequence", 1},
                            {"born", born_}};
  store_->Put("servers", options_.id, std::move(entry));
}

void Worker::Deregister() {
  store_->Remove("servers", options_.id);
}

void Worker::Crash() {
  if (!is_running())
    return;
  record_->Line("worker " + options_.id + " " + options_.version + ": crashed");
  boost::system::error_code ignored;
  acceptor_->close(ignored);
  acceptor_ = nullptr;
  for (const auto& socket : sockets_)
    ResetSocket(*socket);
  const uint64_t born = born_;
  asio::co_spawn(
      *io_,
      [this, born]() -> asio::awaitable<void> {
        co_await Sleep(*io_, kLapse);
        const bool is_silent = !is_running() && born == born_;
        if (is_silent && !store_->is_down())
          Deregister();
      },
      asio::detached);
}

asio::awaitable<void> Worker::Accept(std::shared_ptr<tcp::acceptor> acceptor) {
  for (;;) {
    auto [failure, socket] = co_await acceptor->async_accept(kAsTuple);
    if (failure)
      co_return;
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    boost::system::error_code ignored;
    shared->set_option(tcp::no_delay(true), ignored);
    sockets_.insert(shared);
    asio::co_spawn(*io_, Serve(shared), asio::detached);
  }
}

asio::awaitable<void> Worker::Serve(std::shared_ptr<tcp::socket> socket) {
  beast::flat_buffer buffer;
  for (;;) {
    Request request;
    auto [failure, count] =
        co_await http::async_read(*socket, buffer, request, kAsTuple);
    if (failure)
      break;
    const bool is_kept = co_await Answer(*socket, request);
    if (!is_kept)
      break;
  }
  ResetSocket(*socket);
  sockets_.erase(socket);
}

asio::awaitable<bool> Worker::Answer(tcp::socket& socket,
                                     const Request& request) {
  const std::string target(request.target());
  const std::string expected = Field(request, "X-Teaselthread-Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    const bool is_kept = co_await AnswerPlain(socket, request, kMisdirected);
    co_return is_kept;
  }
  if (target == "/health") {
    const bool is_kept = co_await AnswerPlain(socket, request, kOk);
    co_return is_kept;
  }
  const bool is_stream = target.starts_with(kStreamPath);
  if (!is_stream)
    co_await Sleep(*io_, options_.work);
  WorkerRun run{options_.id,
                options_.version,
                born_,
                Field(request, "X-Teaselthread-Request-Id"),
                Field(request, "X-Teaselthread-Prompt-Prefix"),
                record_->NowMs(),
                false};
  run.has_crashed = is_stream && HasCrashingPart(run.parts);
  record_->Line("run " + run.request_id + " at " + run.worker + " " +
                run.version + " after " + Field(request, "Last-Event-Id") +
                (run.has_crashed ? ", crashes it" : ""));
  runs_->push_back(run);
  if (run.has_crashed) {
    Crash();
    if (on_crashed_)
      on_crashed_();
    co_return false;
  }
  bool is_kept = false;
  if (is_stream)
    is_kept = co_await Stream(socket, request, options_.version);
  else
    is_kept = co_await AnswerPlain(socket, request, kOk);
  co_return is_kept;
}

asio::awaitable<bool> Worker::AnswerPlain(tcp::socket& socket,
                                          const Request& request,
                                          int status) {
  http::response<http::string_body> response(static_cast<http::status>(status),
                                             11);
  response.set("X-Teaselthread-Request-Id",
               Field(request, "X-Teaselthread-Request-Id"));
  response.set("X-Teaselthread-Instance-Id", options_.id);
  if (status == kOk)
    response.set("X-Teaselthread-Server-Seal", "seal-" + options_.id);
  const int64_t cold_ms = options_.cold_left.count();
  if (cold_ms > 0 && request.target() == "/health")
    response.set("X-Teaselthread-Cold-Remaining", std::to_string(cold_ms));
  response.body() = "answer of " + options_.id;
  response.prepare_payload();
  auto [failure, count] =
      co_await http::async_write(socket, response, kAsTuple);
  co_return !failure;
}

asio::awaitable<bool> Worker::Stream(tcp::socket& socket,
                                     const Request& request,
                                     std::string version) {
  const std::string after = Field(request, "Last-Event-Id");
  int event = 0;
  std::from_chars(after.data(), after.data() + after.size(), event);
  std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\nX-Teaselthread-Server-Seal: seal-" +
      options_.id + "\r\nX-Teaselthread-Request-Id: " +
      Field(request, "X-Teaselthread-Request-Id") + "\r\n\r\n";
  bool is_open = co_await WriteText(socket, std::move(head));
  while (is_open && event < options_.events) {
    ++event;
    std::string text = "id: " + std::to_string(event) + "\ndata: " + version +
                       " " + options_.id + "\n\n";
    is_open = co_await WriteText(socket, Chunk(text));
    co_await Sleep(*io_, options_.event_gap);
  }
  if (is_open)
    is_open = co_await WriteText(socket, "0\r\n\r\n");
  co_return is_open;
}

bool Worker::HasCrashingPart(const std::string& parts) const {
  return !options_.crashing_part.empty() &&
         parts.find(options_.crashing_part + ":") != std::string::npos;
}

}  // namespace review
