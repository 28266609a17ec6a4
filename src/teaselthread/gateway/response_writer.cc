#include "teaselthread/gateway/response_writer.h"

#include <sstream>

namespace teaselthread {
namespace {

constexpr int kHttp10 = 10;
constexpr int kHttp11 = 11;

std::string HeadText(const http::response<http::empty_body>& response) {
  std::ostringstream text;
  text << response.base();
  return text.str();
}

}  // namespace

ResponseWriter::~ResponseWriter() {
  if (stream_)
    stream_->Detach();
}

ResponseEnd ResponseWriter::end() const {
  if (!begun_)
    return ResponseEnd::kMissing;
  return usable_ ? ResponseEnd::kComplete : ResponseEnd::kIncomplete;
}

asio::awaitable<bool> ResponseWriter::WriteResponse(ResponseHead head,
                                                    std::string body) {
  http::response<http::string_body> response(
      static_cast<http::status>(head.status),
      options_.is_http11 ? kHttp11 : kHttp10);
  for (const auto& field : head.fields)
    response.insert(field.name_string(), field.value());
  response.body() = std::move(body);
  response.keep_alive(DecideKeepAlive());
  if (!options_.is_head)
    response.prepare_payload();
  begun_ = true;
  http::serializer<false, http::string_body> serializer(response);
  boost::system::error_code failure;
  if (options_.is_head) {
    std::tie(failure, std::ignore) =
        co_await http::async_write_header(*socket_, serializer, kAsTuple);
  } else {
    std::tie(failure, std::ignore) =
        co_await http::async_write(*socket_, serializer, kAsTuple);
  }
  usable_ = !failure;
  co_return usable_;
}

asio::awaitable<bool> ResponseWriter::BeginStream(ResponseHead head,
                                                  std::string first_events) {
  http::response<http::empty_body> response(
      static_cast<http::status>(head.status),
      options_.is_http11 ? kHttp11 : kHttp10);
  for (const auto& field : head.fields)
    response.insert(field.name_string(), field.value());
  // Without chunked encoding, closing the connection marks the end of the
  // response.
  if (!options_.is_http11)
    options_.keep_alive = false;
  response.keep_alive(DecideKeepAlive());
  if (options_.is_http11)
    response.chunked(true);
  begun_ = true;
  stream_ = std::make_shared<StreamOutput>(socket_, options_.stream);
  std::string text = HeadText(response) + Chunk(first_events);
  co_return co_await WriteText(std::move(text));
}

asio::awaitable<bool> ResponseWriter::WriteEvents(std::string events) {
  std::string text = Chunk(events);
  co_return co_await WriteText(std::move(text));
}

asio::awaitable<bool> ResponseWriter::EndStream() {
  if (options_.is_http11) {
    std::string text = "0\r\n\r\n";
    co_await WriteText(std::move(text));
  }
  const bool is_sent = co_await stream_->Drain();
  if (!is_sent)
    usable_ = false;
  co_return usable_;
}

void ResponseWriter::Abort() {
  usable_ = false;
  is_aborted_ = true;
}

asio::awaitable<bool> ResponseWriter::WriteText(std::string text) {
  if (!text.empty()) {
    // Not awaited inside the condition: GCC 12 then places a variable in front
    // of the resume function in this coroutine's frame, and resuming it
    // crashes.
    const bool is_taken = co_await stream_->Write(std::move(text));
    if (!is_taken)
      usable_ = false;
  }
  co_return usable_;
}

bool ResponseWriter::DecideKeepAlive() {
  options_.keep_alive = options_.keep_alive && options_.may_keep_alive();
  return options_.keep_alive;
}

std::string ResponseWriter::Chunk(const std::string& bytes) const {
  if (bytes.empty() || !options_.is_http11)
    return bytes;
  std::ostringstream chunk;
  chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return chunk.str();
}

}  // namespace teaselthread
