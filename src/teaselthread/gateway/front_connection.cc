#include "teaselthread/gateway/front_connection.h"

#include <algorithm>

#include "libteaselthread/attempts/retry_after.h"
#include "teaselthread/callers/discard_input.h"
#include "teaselthread/callers/problem.h"
#include "teaselthread/io_timeout.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr int kHttp10 = 10;
constexpr int kHttp11 = 11;
// Used until the first configuration is loaded.
constexpr ConnectionBounds kDefaultBounds = {
    16 * 1024, 4 << 20, milliseconds(3'000), milliseconds(15'000)};
// Long enough for a body of the maximum size over a slow connection.
constexpr Duration kBodyTimeout = milliseconds(15'000);
constexpr size_t kReadBytes = size_t{8} * 1024;
// A body is kept for further attempts and copied for each of them.
constexpr size_t kBodyCopies = 2;

RefusalReason ReasonOf(const boost::system::error_code& failure) {
  if (failure == http::error::header_limit ||
      failure == http::error::buffer_overflow) {
    return RefusalReason::kHeaderOversized;
  }
  if (failure == http::error::body_limit)
    return RefusalReason::kOversized;
  return RefusalReason::kMalformed;
}

// A body whose length is ambiguous could be used to smuggle another request.
bool HasUnambiguousFraming(const http::fields& fields) {
  const auto encoding = fields[http::field::transfer_encoding];
  if (encoding.empty())
    return true;
  return beast::iequals(encoding, "chunked") &&
         fields.find(http::field::content_length) == fields.end() &&
         fields.count(http::field::transfer_encoding) == 1;
}

bool IsWellFormed(const http::request<http::string_body>& message) {
  const auto target = message.target();
  const bool has_valid_target =
      target.starts_with('/') || message.method() == http::verb::options;
  const bool has_valid_version =
      message.version() == kHttp11 || message.version() == kHttp10;
  const size_t hosts = message.count(http::field::host);
  const bool has_valid_host =
      hosts == 1 || (hosts == 0 && message.version() == kHttp10);
  return has_valid_target && has_valid_version && has_valid_host &&
         message.method() != http::verb::connect &&
         HasUnambiguousFraming(message.base());
}

}  // namespace

FrontConnection::FrontConnection(GatewayState* state,
                                 RequestHandler* handler,
                                 tcp::socket socket)
    : state_(state), handler_(handler), socket_(std::move(socket)) {}

asio::awaitable<void> FrontConnection::Run() {
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  ++state_->connections;
  while (co_await ServeNextRequest()) {
  }
  --state_->connections;
  // An aborted response is ended by a reset: an orderly close could be taken
  // for the regular end of a response without a length.
  if (is_aborted_) {
    Reset();
    co_return;
  }
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  socket_.close(ignored);
}

void FrontConnection::Reset() {
  boost::system::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

void FrontConnection::CloseIfIdle() {
  if (!is_idle_ || buffer_.size() > 0)
    return;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

bool FrontConnection::HasInput() const {
  boost::system::error_code ignored;
  return buffer_.size() > 0 || socket_.available(ignored) > 0;
}

asio::awaitable<bool> FrontConnection::ServeNextRequest() {
  if (!HasInput() && !state_->KeepsIdleConnections())
    co_return false;
  const ConnectionBounds bounds =
      state_->routes() ? state_->routes()->bounds() : kDefaultBounds;
  buffer_.max_size(bounds.max_header_bytes + kReadBytes);
  is_idle_ = true;
  if (buffer_.size() == 0 && !co_await AwaitBytes(bounds.idle_timeout))
    co_return false;
  is_idle_ = false;
  Parser parser;
  parser.header_limit(bounds.max_header_bytes);
  parser.body_limit(bounds.max_body_bytes);
  BufferQuota::Reservation memory(&state_->buffers());
  const auto refusal = co_await ReadRequest(parser, memory);
  if (caller_disconnected_)
    co_return false;
  if (refusal) {
    co_await RefuseUnread(*refusal);
    co_return false;
  }
  const CallerHttpRequest& message = parser.get();
  ResponseWriter writer(
      &socket_, {.keep_alive = message.keep_alive(),
                 .is_http11 = message.version() == kHttp11,
                 .is_head = message.method() == http::verb::head,
                 .may_keep_alive = [this] { return !state_->leaving(); }});
  co_await handler_->Serve(message, state_->Now(), &socket_, &writer);
  is_aborted_ = writer.is_aborted();
  co_return writer.is_usable();
}

asio::awaitable<bool> FrontConnection::AwaitBytes(Duration timeout) {
  IoTimeout limit(socket_);
  limit.Arm(timeout);
  auto [failure, count] =
      co_await socket_.async_read_some(buffer_.prepare(kReadBytes), kAsTuple);
  limit.Disarm();
  buffer_.commit(count);
  co_return !failure;
}

asio::awaitable<bool> FrontConnection::ReadBody(
    Parser& parser,
    BufferQuota::Reservation& memory,
    boost::system::error_code* failure) {
  const auto length = parser.content_length();
  if (length && !memory.GrowTo(kBodyCopies * *length))
    co_return false;
  if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(socket_, asio::buffer(kContinue), kAsTuple);
  }
  while (!parser.is_done() && !*failure) {
    std::tie(*failure, std::ignore) =
        co_await http::async_read_some(socket_, buffer_, parser, kAsTuple);
    // The length of a chunked body is known only when it has been read.
    if (!memory.GrowTo(kBodyCopies * parser.get().body().size()))
      co_return false;
  }
  co_return true;
}

asio::awaitable<std::optional<RefusalReason>> FrontConnection::ReadRequest(
    Parser& parser,
    BufferQuota::Reservation& memory) {
  const ConnectionBounds bounds =
      state_->routes() ? state_->routes()->bounds() : kDefaultBounds;
  IoTimeout limit(socket_);
  limit.Arm(bounds.header_timeout);
  auto [failure, count] =
      co_await http::async_read_header(socket_, buffer_, parser, kAsTuple);
  if (!failure && !IsWellFormed(parser.get()))
    co_return RefusalReason::kMalformed;
  if (!failure && !parser.is_done()) {
    limit.Arm(kBodyTimeout);
    if (!co_await ReadBody(parser, memory, &failure))
      co_return RefusalReason::kBuffersFull;
  }
  limit.Disarm();
  if (!failure)
    co_return std::nullopt;
  if (limit.expired())
    co_return RefusalReason::kTooSlow;
  const bool is_transport =
      failure == http::error::end_of_stream ||
      failure == http::error::partial_message ||
      failure.category() == asio::error::get_system_category();
  if (is_transport) {
    caller_disconnected_ = true;
    co_return std::nullopt;
  }
  co_return ReasonOf(failure);
}

asio::awaitable<void> FrontConnection::RefuseUnread(RefusalReason reason) {
  state_->metrics().OnRefusal(reason);
  LogLine line("request-unread");
  line.Add("reason", ToString(reason));
  state_->log().Info(line);
  ResponseWriter writer(&socket_, {.keep_alive = false});
  const double jitter =
      std::uniform_real_distribution<double>(0, 1)(state_->random());
  const Duration retry_after = RetryAfterFor(reason, jitter);
  auto problem = MakeUnreadProblem({reason, retry_after}, "");
  if (retry_after > Duration::zero())
    problem.set(http::field::retry_after, RetryAfterText(retry_after));
  ResponseHead head{static_cast<int>(problem.result_int()), problem.base()};
  std::string body = std::move(problem.body());
  co_await writer.WriteResponse(std::move(head), std::move(body));
  co_await DiscardInput(socket_);
}

}  // namespace teaselthread
