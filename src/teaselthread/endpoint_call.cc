#include "teaselthread/endpoint_call.h"

#include <algorithm>
#include <array>

#include "teaselthread/http/response_head.h"
#include "teaselthread/http_client.h"
#include "teaselthread/io_timeout.h"

namespace teaselthread {
namespace {

constexpr int kHttp11 = 11;
constexpr size_t kReadBufferBytes = 16'384;
constexpr uint64_t kMaxResponseBytes = 64ull << 20;
constexpr Duration kMinReadTimeout = std::chrono::milliseconds(1);
constexpr Duration kRetryAfterUnsent = std::chrono::milliseconds(500);

}  // namespace

EndpointCall::EndpointCall(const Endpoint& endpoint,
                           const wire::ForwardRequest& request,
                           EndpointCallTiming timing,
                           EndpointConnectionPool* pool,
                           Clock clock)
    : endpoint_(endpoint),
      request_(request),
      timing_(timing),
      pool_(pool),
      clock_(std::move(clock)) {}

asio::awaitable<Outcome> EndpointCall::Run(FrameSink& sink) {
  UnsentCall unsent;
  std::optional<tcp::socket> socket = co_await OpenSocket();
  if (!socket) {
    co_return std::move(unsent).Refuse(RefusalReason::kEndpointUnreachable,
                                       kRetryAfterUnsent);
  }
  if (clock_() >= timing_.deadline) {
    co_return std::move(unsent).Refuse(RefusalReason::kDeadlinePassed,
                                       Duration::zero());
  }
  if (clock_() >= timing_.send_by) {
    co_return std::move(unsent).Refuse(RefusalReason::kOwnerGuarded,
                                       kRetryAfterUnsent);
  }
  PossiblySentCall possibly_sent = std::move(unsent).MarkPossiblySent();
  bool response_started = false;
  Attempt attempt = co_await Exchange(*socket, sink, &response_started);
  const bool may_have_idled_out = attempt == Attempt::kBroken &&
                                  socket_is_reused_ && !response_started &&
                                  request_.repeatable();
  if (may_have_idled_out) {
    pool_->Drop(endpoint_.address);
    socket = co_await OpenSocket();
    if (socket)
      attempt = co_await Exchange(*socket, sink, &response_started);
  }
  switch (attempt) {
    case Attempt::kAnswered:
      if (socket_is_reusable_)
        pool_->Return(endpoint_.address, std::move(*socket));
      co_return std::move(possibly_sent).Answer();
    case Attempt::kTruncated:
      co_return std::move(possibly_sent)
          .MarkUnknown(UnknownReason::kTruncatedAnswer);
    case Attempt::kTimedOut:
      pool_->Drop(endpoint_.address);
      co_return std::move(possibly_sent).MarkUnknown(UnknownReason::kTimedOut);
    default:
      pool_->Drop(endpoint_.address);
      co_return std::move(possibly_sent)
          .MarkUnknown(UnknownReason::kConnectionLost);
  }
}

asio::awaitable<std::optional<tcp::socket>> EndpointCall::OpenSocket() {
  // A call that may not be repeated gets a new connection, because after a
  // failure on a reused connection it is unknown whether the call ran.
  if (request_.repeatable()) {
    std::optional<tcp::socket> idle = pool_->Take(endpoint_.address);
    socket_is_reused_ = idle.has_value();
    if (idle)
      co_return idle;
  }
  Result<tcp::socket> connected =
      co_await Connect(endpoint_.address, timing_.connect_timeout);
  if (!connected)
    co_return std::nullopt;
  co_return connected.TakeValue();
}

asio::awaitable<EndpointCall::Attempt> EndpointCall::Exchange(
    tcp::socket& socket,
    FrameSink& sink,
    bool* response_started) {
  const Timestamp sent_at = clock_();
  IoTimeout timeout(socket);
  timeout.Arm(ReadTimeout());
  const auto failed = [&] {
    return timeout.expired() ? Attempt::kTimedOut : Attempt::kBroken;
  };
  const http::request<http::string_body> request = MakeRequest();
  auto [write_failure, written] =
      co_await http::async_write(socket, request, kAsTuple);
  if (write_failure)
    co_return failed();
  beast::flat_buffer buffer(kMaxFramingBytes);
  std::optional<http::response_parser<http::buffer_body>> parser;
  const boost::system::error_code head_failure =
      co_await ReadFinalResponseHead(socket, buffer, kMaxResponseBytes, parser);
  if (head_failure)
    co_return failed();
  const auto& head = parser->get();
  const auto echoed_id = head["X-Request-Id"];
  if (!echoed_id.empty() && echoed_id != request_.request_id())
    co_return Attempt::kBroken;  // the response to another request
  *response_started = true;
  first_byte_latency_ = clock_() - sent_at;
  wire::ForwardFrame head_frame;
  head_frame.mutable_head()->set_status(head.result_int());
  head_frame.mutable_head()->set_content_type(
      std::string(head[http::field::content_type]));
  sink.Write(std::move(head_frame));
  std::array<char, kReadBufferBytes> bytes;
  uint64_t total = 0;
  while (!parser->is_done()) {
    if (sink.cancelled())
      co_return Attempt::kCancelled;
    timeout.Arm(ReadTimeout());
    parser->get().body().data = bytes.data();
    parser->get().body().size = bytes.size();
    auto [failure, count] =
        co_await http::async_read_some(socket, buffer, *parser, kAsTuple);
    const bool succeeded = !failure || failure == http::error::need_buffer;
    const size_t filled = bytes.size() - parser->get().body().size;
    if (filled > 0) {
      wire::ForwardFrame data;
      data.set_data(bytes.data(), filled);
      total += filled;
      sink.Write(std::move(data));
    }
    if (succeeded)
      continue;
    co_return timeout.expired() ? Attempt::kTimedOut : Attempt::kTruncated;
  }
  wire::ForwardFrame end;
  end.mutable_end()->set_body_bytes(total);
  sink.Write(std::move(end));
  socket_is_reusable_ = parser->get().keep_alive() && buffer.size() == 0;
  co_return Attempt::kAnswered;
}

http::request<http::string_body> EndpointCall::MakeRequest() const {
  const http::verb method = http::string_to_verb(request_.method());
  http::request<http::string_body> request(method, request_.path(), kHttp11);
  request.set(http::field::host, endpoint_.address.ToString());
  if (!request_.content_type().empty())
    request.set(http::field::content_type, request_.content_type());
  request.set("X-Request-Id", request_.request_id());
  request.set("X-Customer", request_.customer());
  request.set("X-Priority", std::to_string(request_.priority()));
  if (!request_.chat().empty())
    request.set("X-Chat-Id", request_.chat());
  if (!request_.idempotency_key().empty())
    request.set("Idempotency-Key", request_.idempotency_key());
  if (request_.resume_from() > 0)
    request.set("X-Resume-From", std::to_string(request_.resume_from()));
  request.body() = request_.body();
  request.prepare_payload();
  return request;
}

Duration EndpointCall::ReadTimeout() const {
  const Duration remaining =
      std::max(kMinReadTimeout, timing_.deadline - clock_());
  return request_.streamed() ? std::min(remaining, timing_.progress_timeout)
                             : remaining;
}

}  // namespace teaselthread
