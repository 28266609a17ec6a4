#include "teaselthread/requests/endpoint_attempt.h"

#include <charconv>

#include "teaselthread/http/response_head.h"
#include "teaselthread/http_client.h"
#include "teaselthread/keep_alive.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A response that is not streamed is buffered until it is complete.
constexpr size_t kMaxBufferedBodyBytes = size_t{16} << 20;
constexpr size_t kBodyBufferBytes = size_t{8} * 1024;
// Number of stray responses to earlier requests that are skipped, and the limit
// on the body of each.
constexpr int kMaxUnrelatedResponses = 2;
constexpr size_t kMaxUnrelatedBodyBytes = size_t{1} << 20;
// Used if the endpoint sends no keep-alive timeout.
constexpr seconds kDefaultKeepAlive(4);
// A connection is not reused shortly before its keep-alive timeout, when the
// endpoint may close it at any moment.
constexpr milliseconds kKeepAliveMargin(1'000);
// An attempt that is not abandoned for silence ends by this if the endpoint's
// VM no longer responds. Lost packets alone must not end it.
constexpr KeepAliveProbes kConnectionKeepAlive{3, milliseconds(3'500)};
// If an endpoint's process has ended, a reset follows the end of its connection
// within this time while the request is still being written.
constexpr milliseconds kResetTime(500);
constexpr int kMisdirectedRequest = 421;
constexpr int kServiceUnavailable = 503;

bool IsServerError(int status) {
  return status >= 500;
}

// Whether the response can continue a stream that has begun: its body is a
// series of events, and not an error or an empty one.
bool IsEventStream(const http::response_header<>& head) {
  constexpr beast::string_view kMediaType = "text/event-stream";
  const beast::string_view type = head[http::field::content_type];
  return head.result() == http::status::ok &&
         beast::iequals(type.substr(0, kMediaType.size()), kMediaType);
}

AttemptFailure ToAttemptFailure(const boost::system::error_code& failure) {
  if (failure == http::error::header_limit ||
      failure == http::error::buffer_overflow) {
    return AttemptFailure::kOversized;
  }
  const bool is_malformed =
      failure.category() ==
          http::make_error_code(http::error::bad_version).category() &&
      failure != http::error::end_of_stream &&
      failure != http::error::partial_message;
  return is_malformed ? AttemptFailure::kMalformed : AttemptFailure::kBroken;
}

// Parses the timeout from a value such as "timeout=5, max=100" and subtracts
// kKeepAliveMargin.
std::chrono::steady_clock::duration KeepAliveTime(const http::fields& fields) {
  const auto value = fields["Keep-Alive"];
  const std::string_view text(value.data(), value.size());
  constexpr std::string_view kTimeout = "timeout=";
  const size_t start = text.find(kTimeout);
  int time = 0;
  if (start == std::string_view::npos)
    return kDefaultKeepAlive - kKeepAliveMargin;
  std::from_chars(text.data() + start + kTimeout.size(),
                  text.data() + text.size(), time);
  return seconds(time) - kKeepAliveMargin;
}

// Removes hop-by-hop fields, which apply to a single connection only.
http::fields EndToEndFields(const http::fields& from) {
  http::fields to;
  for (const auto& field : from) {
    switch (field.name()) {
      case http::field::connection:
      case http::field::keep_alive:
      case http::field::proxy_connection:
      case http::field::transfer_encoding:
      case http::field::content_length:
      case http::field::trailer:
      case http::field::te:
      case http::field::upgrade:
        break;
      default:
        to.insert(field.name_string(), field.value());
    }
  }
  return to;
}

}  // namespace

EndpointAttempt::EndpointAttempt(GatewayState* state,
                                 EndpointConnections* connections,
                                 EndpointPtr endpoint,
                                 RequestGuard* guard,
                                 RequestAttempts* attempts,
                                 AttemptRole role)
    : state_(state),
      connections_(connections),
      endpoint_(std::move(endpoint)),
      guard_(guard),
      attempts_(attempts),
      role_(role),
      buffered_(&state->buffers()) {}

asio::awaitable<AttemptResult> EndpointAttempt::Run(
    std::shared_ptr<const EndpointHttpRequest> request,
    std::string request_id,
    ResponseTimeouts limits,
    StreamRelay* relay,
    SilenceHandlers on_silence) {
  request_id_ = std::move(request_id);
  limits_ = limits;
  connection_ = connections_->Take(endpoint_->record().id);
  if (!connection_ && !co_await Connect()) {
    guard_->Detach();
    AttemptResult unreachable;
    unreachable.failure = guard_->is_final() ? *guard_->interruption()
                                             : AttemptFailure::kUnreachable;
    co_return unreachable;
  }
  // The cancellation may have come when the connection was established.
  if (guard_->interruption() == AttemptFailure::kCancelled) {
    connection_->Reset();
    AttemptResult cancelled;
    cancelled.failure = AttemptFailure::kCancelled;
    co_return cancelled;
  }
  const bool is_head = request->method() == http::verb::head;
  const bool on_reused_connection = connection_->is_reused;
  guard_->Attach(&connection_->socket, limits_.first,
                 std::move(on_silence.may_abandon));
  bool silence_recorded = false;
  guard_->WatchFirstByte(limits_.health_timeout, [&] {
    silence_recorded = true;
    on_silence.on_health_timeout();
  });
  attempts_->OnSendStarted(role_);
  sent_at_ = state_->Now();
  StartWrite(std::move(request));
  AttemptResult result;
  std::unique_ptr<Parser> parser;
  if (co_await ReadHead(&parser, is_head)) {
    result = co_await ReadResponse(*parser, relay);
    result.response_begun = true;
  } else {
    result.failure = ReadFailure();
  }
  guard_->Detach();
  result.on_reused_connection = on_reused_connection;
  result.silence_recorded = silence_recorded;
  result.is_rate_limited = endpoint_head_.rate_limit.has_value();
  if (connection_)
    connection_->Reset();
  co_return result;
}

asio::awaitable<bool> EndpointAttempt::Connect() {
  connection_ = std::make_shared<EndpointConnection>(state_->io());
  const SocketAddress& address = endpoint_->record().address;
  const tcp::endpoint target(asio::ip::make_address(address.host),
                             address.port);
  boost::system::error_code ignored;
  connection_->socket.open(target.protocol(), ignored);
  guard_->Attach(&connection_->socket, EndpointConnection::kConnectTimeout);
  const Timestamp started_at = state_->Now();
  auto [failure] = co_await connection_->socket.async_connect(target, kAsTuple);
  endpoint_->contact().OnConnectEnded(
      !failure, failure == asio::error::connection_refused, started_at);
  if (failure) {
    connection_->Reset();
    co_return false;
  }
  connection_->socket.set_option(tcp::no_delay(true), ignored);
  EnableKeepAlive(connection_->socket, kConnectionKeepAlive);
  co_return true;
}

// An endpoint may respond before it has read the whole body, so the response is
// read while the request is still being written.
void EndpointAttempt::StartWrite(
    std::shared_ptr<const EndpointHttpRequest> request) {
  write_ = std::make_shared<RequestWrite>(state_->io());
  auto serializer =
      std::make_shared<http::serializer<true, http::string_body, http::fields>>(
          *request);
  http::async_write(
      connection_->socket, *serializer,
      [serializer, request, connection = connection_, write = write_](
          const boost::system::error_code& failure, size_t) {
        write->result = failure;
        write->ended.cancel();
      });
}

asio::awaitable<bool> EndpointAttempt::ReadHead(std::unique_ptr<Parser>* parser,
                                                bool is_head) {
  int unrelated = 0;
  int informational = 0;
  while (unrelated <= kMaxUnrelatedResponses &&
         informational <= kMaxInformationalResponses) {
    if (guard_->interruption())
      co_return false;
    *parser = std::make_unique<Parser>();
    (*parser)->header_limit(EndpointConnection::kMaxHeaderBytes);
    (*parser)->body_limit(boost::none);
    (*parser)->skip(is_head);
    const boost::system::error_code failure = co_await ReadResponseHead(
        connection_->socket, connection_->buffer, **parser);
    if (failure)
      co_return SetFailure(ToAttemptFailure(failure));
    if ((*parser)->get().result_int() >= 400)
      guard_->StopWatchingFirstByte();
    if (IsInformational((*parser)->get())) {
      ++informational;
      continue;
    }
    endpoint_head_ = state_->codec().DecodeEndpoint((*parser)->get().base());
    if (BelongsToRequest(endpoint_head_)) {
      ObserveEndpoint((*parser)->get().result_int());
      co_return true;
    }
    ++unrelated;
    if (!co_await SkipBody(**parser))
      co_return false;
  }
  co_return SetFailure(AttemptFailure::kMalformed);
}

// A response without an echoed id certainly belongs to this request only if the
// connection has carried no earlier one.
bool EndpointAttempt::BelongsToRequest(const EndpointHead& head) const {
  if (head.request_id.empty())
    return !connection_->is_reused;
  return head.request_id == request_id_;
}

// A response 421 comes from another endpoint that uses the address now.
void EndpointAttempt::ObserveEndpoint(int status) {
  const Timestamp now = state_->Now();
  if (status == kMisdirectedRequest) {
    endpoint_->contact().misdirected_at = now;
    return;
  }
  endpoint_->contact().bytes_at = now;
  const EndpointRecord& record = endpoint_->record();
  EndpointAnnouncements& announcements = state_->endpoints().announcements();
  if (endpoint_head_.load)
    endpoint_->OnReport(*endpoint_head_.load, now);
  if (endpoint_head_.cold_left)
    endpoint_->ExtendCold(now + *endpoint_head_.cold_left);
  ObserveRateLimit(status);
  if (endpoint_head_.is_leaving && announcements.OnLeaving(record, now)) {
    state_->metrics().OnEndpointLeaving();
    LogLine line("endpoint-leaving");
    line.Add("endpoint", record.id).Add("id", request_id_);
    state_->log().Info(line);
  }
  if (status == kServiceUnavailable && endpoint_head_.pause) {
    announcements.OnPause(record, now + *endpoint_head_.pause, now);
    state_->metrics().OnEndpointPaused();
    LogLine line("endpoint-paused");
    line.Add("endpoint", record.id)
        .Add("id", request_id_)
        .AddTime("pause", *endpoint_head_.pause);
    state_->log().Info(line);
  }
}

void EndpointAttempt::ObserveRateLimit(int status) {
  NamedRate named;
  if (endpoint_head_.rate_limit) {
    named = {NamedRate::Kind::kLimited, *endpoint_head_.rate_limit};
  } else if (endpoint_head_.has_unreadable_rate_limit) {
    state_->metrics().OnUnreadableRateLimit();
  } else if (IsSuccess(status)) {
    named.kind = NamedRate::Kind::kUnlimited;
  }
  const EndpointRecord& record = endpoint_->record();
  const RateLimitChange change = state_->endpoints().rate_limits().OnResponse(
      record, named, sent_at_, state_->Now());
  if (change != RateLimitChange::kNone)
    state_->OnRateLimitChange(record, change, request_id_);
}

asio::awaitable<AttemptResult> EndpointAttempt::ReadResponse(
    Parser& parser,
    StreamRelay* relay) {
  const int status = static_cast<int>(parser.get().result_int());
  const bool not_run = endpoint_head_.not_run || status == kMisdirectedRequest;
  const bool continues_stream = relay && relay->begun();
  const bool is_stream =
      continues_stream ? IsEventStream(parser.get()) : IsSuccess(status);
  if (relay && is_stream && !not_run)
    co_return co_await Stream(parser, *relay);
  AttemptResult result;
  // Copied before the body, after which the parser has added the trailers.
  ResponseHead head{status, EndToEndFields(parser.get().base())};
  if (!co_await ReadBody(parser, &result.body)) {
    // The header's statement that the request did not run holds even if the
    // body is lost.
    result.failure = not_run ? AttemptFailure::kRejected : ReadFailure();
    co_return result;
  }
  if (not_run) {
    result.failure = status == kMisdirectedRequest
                         ? AttemptFailure::kMisdirected
                         : AttemptFailure::kRejected;
  } else if (IsServerError(status) || continues_stream) {
    result.failure = AttemptFailure::kServerError;
  }
  result.head = std::move(head);
  ReleaseConnection(parser);
  co_return result;
}

asio::awaitable<bool> EndpointAttempt::ReadBody(Parser& parser,
                                                std::string* body) {
  while (!parser.is_done()) {
    std::string_view bytes;
    if (!co_await ReadBodyData(parser, &bytes))
      co_return false;
    if (bytes.empty())
      continue;
    guard_->StopWatchingFirstByte();
    guard_->OnProgress(limits_.between);
    if (body->size() + bytes.size() > kMaxBufferedBodyBytes)
      co_return SetFailure(AttemptFailure::kOversized);
    if (!buffered_.Grow(bytes.size()))
      co_return SetFailure(AttemptFailure::kNoBufferSpace);
    body->append(bytes);
  }
  co_return true;
}

asio::awaitable<bool> EndpointAttempt::SkipBody(Parser& parser) {
  size_t total = 0;
  while (!parser.is_done()) {
    std::string_view bytes;
    if (!co_await ReadBodyData(parser, &bytes))
      co_return false;
    total += bytes.size();
    if (total > kMaxUnrelatedBodyBytes)
      co_return SetFailure(AttemptFailure::kOversized);
  }
  co_return true;
}

asio::awaitable<AttemptResult> EndpointAttempt::Stream(Parser& parser,
                                                       StreamRelay& relay) {
  AttemptResult result;
  const int status = static_cast<int>(parser.get().result_int());
  relay.OnHead({status, EndToEndFields(parser.get().base())});
  while (!parser.is_done()) {
    std::string_view bytes;
    if (!co_await ReadBodyData(parser, &bytes)) {
      result.failure = ReadFailure();
      co_return result;
    }
    if (bytes.empty())
      continue;
    guard_->StopWatchingFirstByte();
    guard_->SuspendSilenceLimit();
    const uint32_t events_before = relay.events().event_count();
    if (!co_await relay.OnBytes(bytes)) {
      result.failure = AttemptFailure::kCallerGone;
      co_return result;
    }
    guard_->ResumeSilenceLimit();
    if (relay.events().event_count() > events_before)
      guard_->OnProgress(limits_.between);
    if (relay.events().is_oversized()) {
      result.failure = AttemptFailure::kOversized;
      co_return result;
    }
  }
  result.failure = CheckStreamEnd(parser, relay);
  if (result.failure)
    co_return result;
  ReleaseConnection(parser);
  if (!co_await relay.OnEnd())
    result.failure = AttemptFailure::kCallerGone;
  co_return result;
}

std::optional<AttemptFailure> EndpointAttempt::CheckStreamEnd(
    const Parser& parser,
    const StreamRelay& relay) {
  const bool has_partial_event = relay.events().has_partial_event();
  // The kernel closes the connections of a process that has ended, so their end
  // says nothing about the stream's inside an event or before the first one.
  if (parser.need_eof() &&
      (has_partial_event || !relay.has_event_from_attempt())) {
    return AttemptFailure::kBroken;
  }
  if (has_partial_event)
    return AttemptFailure::kMalformed;
  return std::nullopt;
}

asio::awaitable<bool> EndpointAttempt::ReadBodyData(Parser& parser,
                                                    std::string_view* bytes) {
  if (guard_->interruption())
    co_return false;
  body_buffer_.resize(kBodyBufferBytes);
  http::buffer_body::value_type& body = parser.get().body();
  body.data = body_buffer_.data();
  body.size = body_buffer_.size();
  body.more = true;
  auto [failure, count] = co_await http::async_read_some(
      connection_->socket, connection_->buffer, parser, kAsTuple);
  *bytes = {body_buffer_.data(), body_buffer_.size() - body.size};
  if (failure && failure != http::error::need_buffer)
    co_return SetFailure(ToAttemptFailure(failure));
  if (count > 0)
    endpoint_->contact().bytes_at = state_->Now();
  if (parser.is_done() && parser.need_eof())
    co_return co_await CheckConnectionEnd();
  co_return true;
}

// A socket reports a reset only once. If the write of the request gets the
// error, the read sees an end that does not differ from an orderly one.
asio::awaitable<bool> EndpointAttempt::CheckConnectionEnd() {
  if (!write_->result) {
    write_->ended.expires_after(kResetTime);
    co_await write_->ended.async_wait(kAsTuple);
  }
  if (write_->result.value_or(boost::system::error_code()))
    co_return SetFailure(AttemptFailure::kBroken);
  co_return true;
}

void EndpointAttempt::ReleaseConnection(const Parser& parser) {
  const bool is_written = write_->result && !*write_->result;
  const bool is_reusable = parser.keep_alive() &&
                           connection_->buffer.size() == 0 && is_written &&
                           !guard_->interruption();
  if (!is_reusable)
    return;
  // From here on another request may use the connection, or it is destroyed.
  guard_->Detach();
  connection_->usable_until =
      std::chrono::steady_clock::now() + KeepAliveTime(parser.get().base());
  connections_->Return(endpoint_->record().id, std::move(connection_));
  connection_ = nullptr;
}

AttemptFailure EndpointAttempt::ReadFailure() const {
  return guard_->interruption().value_or(read_failure_);
}

bool EndpointAttempt::SetFailure(AttemptFailure failure) {
  read_failure_ = failure;
  return false;
}

}  // namespace teaselthread
