#include "teaselthread/callers/http_response_sink.h"

#include "teaselthread/callers/problem.h"
#include "teaselthread/io_timeout.h"

namespace teaselthread {
namespace {

constexpr int kHttp11 = 11;
constexpr std::string_view kEventStream = "text/event-stream";
// A caller that reads no bytes for this long is taken to have disconnected.
constexpr Duration kWriteTimeout = std::chrono::seconds(20);

}  // namespace

HttpResponseSink::HttpResponseSink(tcp::socket* socket,
                                   std::string request_id,
                                   bool keep_alive)
    : socket_(socket),
      request_id_(std::move(request_id)),
      keep_alive_(keep_alive) {}

asio::awaitable<bool> HttpResponseSink::OnHead(
    const RelayHead& head,
    const std::string& next_address) {
  head_ = head;
  next_address_ = next_address;
  streaming_ = head.content_type.substr(0, kEventStream.size()) == kEventStream;
  if (!streaming_)
    co_return true;
  http::response<http::empty_body> response(
      static_cast<http::status>(head.status), kHttp11);
  response.base() = MakeResponse().base();
  response.chunked(true);
  http::response_serializer<http::empty_body> serializer(response);
  IoTimeout timeout(*socket_);
  timeout.Arm(kWriteTimeout);
  auto [failure, written] =
      co_await http::async_write_header(*socket_, serializer, kAsTuple);
  connection_is_usable_ = !failure;
  co_return !failure;
}

asio::awaitable<bool> HttpResponseSink::OnData(std::string bytes) {
  if (!streaming_) {
    body_.append(bytes);
    co_return true;
  }
  IoTimeout timeout(*socket_);
  timeout.Arm(kWriteTimeout);
  const auto chunk = http::make_chunk(asio::buffer(bytes));
  auto [failure, written] =
      co_await asio::async_write(*socket_, chunk, kAsTuple);
  if (failure)
    connection_is_usable_ = false;
  co_return !failure;
}

asio::awaitable<void> HttpResponseSink::OnFinish(const Outcome& outcome) {
  if (const RefusedNotRun* refused = outcome.refused()) {
    co_await WriteWhole(MakeProblem(*refused));
    co_return;
  }
  const MayHaveRun* unknown = outcome.may_have_run();
  if (unknown && !streaming_) {
    co_await WriteWhole(MakeProblem(*unknown));
    co_return;
  }
  if (unknown) {
    // The last chunk is left out, so that the caller cannot mistake the
    // truncated response for a complete one.
    connection_is_usable_ = false;
    co_return;
  }
  if (!streaming_) {
    http::response<http::string_body> response = MakeResponse();
    response.body() = std::move(body_);
    co_await WriteWhole(std::move(response));
    co_return;
  }
  const auto last = http::make_chunk_last();
  auto [failure, written] =
      co_await asio::async_write(*socket_, last, kAsTuple);
  connection_is_usable_ = connection_is_usable_ && !failure && keep_alive_;
}

http::response<http::string_body> HttpResponseSink::MakeResponse() const {
  http::response<http::string_body> response(
      static_cast<http::status>(head_.status), kHttp11);
  if (!head_.content_type.empty())
    response.set(http::field::content_type, head_.content_type);
  if (!head_.endpoint.empty())
    response.set("X-Context-Hint", head_.endpoint);
  if (!next_address_.empty())
    response.set("X-Next-Address", next_address_);
  response.set("X-Request-Id", request_id_);
  response.keep_alive(keep_alive_);
  return response;
}

asio::awaitable<void> HttpResponseSink::WriteWhole(
    http::response<http::string_body> response) {
  response.set("X-Request-Id", request_id_);
  response.keep_alive(keep_alive_);
  response.prepare_payload();
  IoTimeout timeout(*socket_);
  timeout.Arm(kWriteTimeout);
  auto [failure, written] =
      co_await http::async_write(*socket_, response, kAsTuple);
  connection_is_usable_ = connection_is_usable_ && !failure && keep_alive_;
}

}  // namespace teaselthread
