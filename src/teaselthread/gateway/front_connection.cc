#include "teaselthread/gateway/front_connection.h"

#include <netinet/tcp.h>

#include "teaselthread/callers/finish_output.h"
#include "teaselthread/callers/socket_backlog.h"
#include "teaselthread/gateway/request_reader.h"
#include "teaselthread/gateway/unread_refusal.h"
#include "teaselthread/io_timeout.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

constexpr int kHttp11 = 11;
// Used until the first configuration is loaded.
constexpr ConnectionBounds kDefaultBounds = {
    16 * 1024, 4 << 20, milliseconds(3'000), milliseconds(15'000)};
// Bytes that the kernel keeps for a caller that does not read, or of one whose
// data is not read yet. Enough for 200 Mbit/s over the 4.4 ms between zones;
// the kernel's own limits are several megabytes for each connection.
constexpr int kUnsentKernelBytes = 128 * 1024;
constexpr int kUnreadKernelBytes = 256 * 1024;

using NotSentLowWatermark =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

}  // namespace

FrontConnection::FrontConnection(GatewayState* state,
                                 RequestHandler* handler,
                                 tcp::socket socket,
                                 CallerConnections::Id id)
    : state_(state), handler_(handler), socket_(std::move(socket)), id_(id) {}

asio::awaitable<void> FrontConnection::Run() {
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.set_option(NotSentLowWatermark(kUnsentKernelBytes), ignored);
  socket_.set_option(asio::socket_base::receive_buffer_size(kUnreadKernelBytes),
                     ignored);
  ++state_->connections;
  while (co_await ServeNextRequest()) {
  }
  if (!is_aborted_ && !end_ && MayHaveUnreadResponse())
    co_await AwaitDelivery();
  --state_->connections;
  state_->caller_connections().Remove(id_);
  // An aborted response is ended by a reset: an orderly close could be taken
  // for the regular end of a response without a length.
  if (is_aborted_)
    Reset();
  else
    Close();
}

void FrontConnection::Close() {
  if (socket_.is_open()) {
    RecordEnd(end_ ? *end_ : EndOf(BacklogOf(socket_)));
  }
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  socket_.close(ignored);
}

void FrontConnection::Reset() {
  if (socket_.is_open())
    RecordEnd(ConnectionEnd::kReset);
  boost::system::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

void FrontConnection::CloseForExit() {
  if (is_ending_)
    Close();
  else
    Reset();
}

void FrontConnection::CloseIfIdle() {
  if (!is_idle_ || is_ending_ || buffer_.size() > 0)
    return;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

bool FrontConnection::HasInput() const {
  boost::system::error_code ignored;
  return buffer_.size() > 0 || socket_.available(ignored) > 0;
}

void FrontConnection::SetState(CallerConnections::State state) {
  state_->caller_connections().SetState(id_, state, state_->Now());
}

bool FrontConnection::MayHaveUnreadResponse() {
  // An idle connection has had time to deliver its response.
  return !is_idle_ || BacklogOf(socket_).unacknowledged > 0;
}

asio::awaitable<void> FrontConnection::AwaitDelivery() {
  is_ending_ = true;
  buffer_ = {};
  end_ = co_await FinishOutput(socket_);
}

void FrontConnection::RecordEnd(ConnectionEnd end) {
  state_->metrics().OnConnectionEnded(end);
  const bool is_delivered = end == ConnectionEnd::kCallerClosed ||
                            end == ConnectionEnd::kAcknowledged;
  if (last_request_id_.empty() || (is_delivered && !state_->leaving()))
    return;
  const SocketBacklog backlog = BacklogOf(socket_);
  LogLine line("connection-ended");
  line.Add("id", last_request_id_)
      .Add("end", ToString(end))
      .Add("unacknowledged_bytes", backlog.unacknowledged)
      .Add("unread_bytes", backlog.unread)
      .Add("leaving", state_->leaving());
  state_->log().Info(line);
}

asio::awaitable<bool> FrontConnection::ServeNextRequest() {
  if (!HasInput() && !state_->KeepsIdleConnections())
    co_return false;
  const ConnectionBounds bounds =
      state_->routes() ? state_->routes()->bounds() : kDefaultBounds;
  is_idle_ = true;
  if (buffer_.size() == 0 && !co_await AwaitBytes(bounds.idle_timeout))
    co_return false;
  is_idle_ = false;
  SetState(CallerConnections::State::kBusy);
  last_request_id_.clear();
  std::optional<RequestReader> reader(std::in_place, state_, &socket_, &buffer_,
                                      bounds);
  const auto refusal = co_await reader->Read();
  if (reader->caller_disconnected()) {
    end_ = ConnectionEnd::kCallerClosed;
    co_return false;
  }
  if (refusal) {
    // The memory of the body is released before the rest is discarded.
    reader.reset();
    co_await RefuseUnread(*refusal);
    co_return false;
  }
  const CallerHttpRequest& message = reader->message();
  ResponseWriter writer(&socket_, WriterOptions(message, reader->caller()));
  last_request_id_ = state_->codec().DecodeCaller(message.base()).id;
  co_await handler_->Serve(message, state_->Now(), &socket_, &writer);
  is_aborted_ = writer.is_aborted();
  SetState(CallerConnections::State::kIdle);
  co_return writer.is_usable();
}

asio::awaitable<bool> FrontConnection::AwaitBytes(Duration timeout) {
  buffer_.shrink_to_fit();
  IoTimeout limit(socket_);
  limit.Arm(timeout);
  auto [failure] =
      co_await socket_.async_wait(tcp::socket::wait_read, kAsTuple);
  co_return !failure;
}

ResponseWriter::Options FrontConnection::WriterOptions(
    const CallerHttpRequest& message,
    const std::string& caller) {
  ResponseWriter::Options options;
  options.keep_alive = message.keep_alive();
  options.is_http11 = message.version() == kHttp11;
  options.is_head = message.method() == http::verb::head;
  options.may_keep_alive = [this] { return !state_->leaving(); };
  options.stream.buffers = &state_->buffers();
  options.stream.caller = caller;
  options.stream.read_ahead_bytes =
      state_->settings().callers().read_ahead_bytes;
  options.stream.on_reclaimed = [this] {
    state_->metrics().OnCallerClosed(ClosingReason::kUnreadStream);
    LogLine line("caller-closed");
    line.Add("reason", ToString(ClosingReason::kUnreadStream))
        .Add("buffered_bytes", state_->buffers().used());
    state_->LogUntrustedCaller(line);
  };
  return options;
}

asio::awaitable<void> FrontConnection::RefuseUnread(RefusalReason reason) {
  SetState(CallerConnections::State::kEnding);
  auto problem = RefuseUnreadRequest(state_, reason);
  ResponseWriter writer(&socket_, {.keep_alive = false});
  ResponseHead head{static_cast<int>(problem.result_int()), problem.base()};
  std::string body = std::move(problem.body());
  co_await writer.WriteResponse(std::move(head), std::move(body));
}

}  // namespace teaselthread
