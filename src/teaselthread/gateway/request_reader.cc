#include "teaselthread/gateway/request_reader.h"

#include <algorithm>

#include "teaselthread/http/message_framing.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr int kHttp10 = 10;
constexpr int kHttp11 = 11;
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

std::string AddressOf(const tcp::socket& socket) {
  boost::system::error_code failure;
  const tcp::endpoint remote = socket.remote_endpoint(failure);
  return failure ? std::string() : remote.address().to_string();
}

}  // namespace

RequestReader::RequestReader(GatewayState* state,
                             tcp::socket* socket,
                             beast::flat_buffer* buffer,
                             const ConnectionBounds& bounds)
    : state_(state),
      socket_(socket),
      buffer_(buffer),
      bounds_(bounds),
      caller_(AddressOf(*socket)),
      memory_(&state->buffers(), caller_, [this] {
        lost_memory_ = true;
        boost::system::error_code ignored;
        socket_->cancel(ignored);
      }) {
  buffer_->max_size(bounds.max_header_bytes + kReadBytes);
  parser_.header_limit(bounds.max_header_bytes);
  parser_.body_limit(bounds.max_body_bytes);
}

asio::awaitable<std::optional<RefusalReason>> RequestReader::Read() {
  IoTimeout limit(*socket_);
  limit.Arm(bounds_.header_timeout);
  while (!parser_.is_header_done()) {
    const bool stepped = co_await Step();
    if (lost_memory_)
      co_return RefusalReason::kBuffersFull;
    if (limit.expired())
      co_return RefusalReason::kTooSlow;
    if (!stepped)
      co_return ReasonOfFailure();
    if (!CountHeldBytes())
      co_return RefusalReason::kBuffersFull;
  }
  if (!IsWellFormed(parser_.get()))
    co_return RefusalReason::kMalformed;
  if (parser_.is_done()) {
    memory_.Pin();
    co_return std::nullopt;
  }
  IdentifyCaller();
  co_return co_await ReadBody(limit);
}

asio::awaitable<std::optional<RefusalReason>> RequestReader::ReadBody(
    IoTimeout& limit) {
  const auto length = parser_.content_length();
  if (length && !state_->buffers().MayFit(kBodyCopies * *length))
    co_return RefusalReason::kBuffersFull;
  if (length)
    memory_.SetExpected(kBodyCopies * *length);
  if (beast::iequals(parser_.get()[http::field::expect], "100-continue")) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(*socket_, asio::buffer(kContinue), kAsTuple);
  }
  // Bounds the work for tiny chunks: all that have arrived are parsed at once.
  parser_.eager(true);
  Timestamp now = state_->Now();
  const Timestamp deadline = now + kBodyTimeout;
  BodyRate rate(state_->settings().callers().body_rate, now);
  limit.Arm(std::min(deadline, rate.ends_at()) - now);
  while (!parser_.is_done()) {
    const size_t received = body_wire_bytes_;
    const bool stepped = co_await Step();
    if (lost_memory_)
      co_return RefusalReason::kBuffersFull;
    now = state_->Now();
    rate.OnBytes(body_wire_bytes_ - received);
    if (limit.expired() || now >= rate.ends_at()) {
      if (now >= deadline || rate.IsTooSlow(now))
        co_return RefusalReason::kTooSlow;
      limit.Arm(std::min(deadline, rate.ends_at()) - now);
      if (failure_ == asio::error::operation_aborted)
        continue;
    }
    if (!stepped)
      co_return ReasonOfFailure();
    if (!CountHeldBytes())
      co_return RefusalReason::kBuffersFull;
    if (pacing_.HasExcessiveFraming(parser_.get().body().size()))
      co_return RefusalReason::kExcessiveFraming;
  }
  limit.Disarm();
  if (!memory_.GrowTo(kBodyCopies * parser_.get().body().size()))
    co_return RefusalReason::kBuffersFull;
  memory_.Pin();
  co_return std::nullopt;
}

asio::awaitable<bool> RequestReader::Step() {
  failure_ = {};
  if (buffer_->size() > 0) {
    const size_t used = parser_.put(buffer_->data(), failure_);
    buffer_->consume(used);
    if (failure_ != http::error::need_more)
      co_return !failure_;
    failure_ = {};
  }
  co_return co_await ReadMore();
}

asio::awaitable<bool> RequestReader::ReadMore() {
  const size_t room = buffer_->max_size() - buffer_->size();
  if (room == 0) {
    failure_ = http::error::buffer_overflow;
    co_return false;
  }
  const Duration pause = pacing_.Pause();
  if (pause > Duration::zero()) {
    asio::steady_timer timer(socket_->get_executor(), pause);
    co_await timer.async_wait(kAsTuple);
    // Cancelling the socket while nothing is pending on it has no effect.
    if (lost_memory_)
      co_return false;
  }
  auto [failure, count] = co_await socket_->async_read_some(
      buffer_->prepare(std::min(kReadBytes, room)), kAsTuple);
  buffer_->commit(count);
  pacing_.OnRead(count);
  memory_.OnProgress(count);
  body_wire_bytes_ += count;
  failure_ = failure;
  co_return !failure;
}

bool RequestReader::CountHeldBytes() {
  const std::string& body = parser_.get().body();
  // A body of known length is allocated once, and its pages are used as it
  // arrives. Another one grows by doubling.
  const bool has_length = parser_.is_header_done() && parser_.content_length();
  const size_t body_bytes = has_length ? body.size() : body.capacity();
  return memory_.GrowTo(body_bytes + buffer_->size());
}

void RequestReader::IdentifyCaller() {
  if (!state_->routes())
    return;
  const std::string key =
      state_->codec().DecodeCaller(parser_.get().base()).key;
  const Customer* customer = state_->routes()->FindCustomer(key);
  if (!customer)
    return;
  caller_ = customer->name;
  memory_.SetCaller(caller_);
}

std::optional<RefusalReason> RequestReader::ReasonOfFailure() {
  const bool is_parsed =
      failure_.category() ==
      http::make_error_code(http::error::bad_version).category();
  if (is_parsed)
    return ReasonOf(failure_);
  caller_disconnected_ = true;
  return std::nullopt;
}

}  // namespace teaselthread
