#include "teaselthread/requests/resumed_streams.h"

#include <algorithm>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;

// Requests that arrive at the same time share one read.
constexpr Duration kMaxRecordAge = milliseconds(100);
// Shorter than it takes a new endpoint to register, to get a request and to
// send its first event, and the caller to come back after that.
constexpr Duration kMaxEndpointsAge = milliseconds(100);
// From the first event of a stream until other nodes can read its record.
constexpr Duration kRecordDelay = milliseconds(300);
// Share of the time left that a request may wait for a record.
constexpr int kMaxWaitDivisor = 4;
// An endpoint that has run for the route's timeout and this much longer has
// started before the stream can have begun.
constexpr Duration kStartMargin = milliseconds(2'000);
// Ids come from callers and may be as long as a header field.
constexpr size_t kMaxLoggedIdBytes = 64;

StreamKey KeyOf(const ClassifiedRequest& request,
                const std::string& request_id) {
  return StreamKey::Of(request.service->name,
                       request.customer ? request.customer->name : "",
                       request_id);
}

}  // namespace

asio::awaitable<std::optional<RefusalReason>> ResumedStreams::Resolve(
    RequestExchange& exchange) {
  ClassifiedRequest& request = exchange.request;
  if (request.route->kind != RequestKind::kStreaming ||
      !request.head.continues_stream) {
    co_return std::nullopt;
  }
  std::optional<Origin> origin = co_await Find(request);
  // If the store does not confirm that there is one version, it does not show
  // the records either.
  Origin unknown;
  if (!origin && SingleVersion(request))
    unknown.source = OriginSource::kUnconfirmed;
  else if (!origin)
    origin = co_await FindInRecords(exchange);
  Log(exchange, origin.value_or(unknown));
  if (!origin)
    co_return RefusalReason::kStreamOriginUnknown;
  request.required_version = origin->version;
  co_return std::nullopt;
}

void ResumedStreams::OnFirstEvent(const RequestExchange& exchange) {
  const ClassifiedRequest& request = exchange.request;
  const uint32_t service = ShortHash(request.service->name);
  const auto add = [&](const std::string& id) {
    if (!id.empty()) {
      state_->stream_origins().Add(KeyOf(request, id), service,
                                   exchange.endpoint_version, state_->Now());
    }
  };
  add(request.head.id);
  if (request.head.continues_stream)
    add(request.head.resumed_id);
}

// The endpoints that a node knows are those of its last contact with the store
// or its zone leader. A node that was frozen or cut off may lack a version that
// has begun streams at other nodes since then.
asio::awaitable<std::optional<ResumedStreams::Origin>> ResumedStreams::Find(
    const ClassifiedRequest& request) {
  if (const auto version = VersionFromMemory(request))
    co_return Origin{*version, OriginSource::kMemory};
  if (!SingleVersion(request))
    co_return std::nullopt;
  const bool is_confirmed = co_await state_->ConfirmEndpoints(kMaxEndpointsAge);
  if (!is_confirmed)
    co_return std::nullopt;
  if (const auto version = SingleVersion(request))
    co_return Origin{*version, OriginSource::kSingleVersion};
  co_return std::nullopt;
}

std::optional<std::string> ResumedStreams::VersionFromMemory(
    const ClassifiedRequest& request) const {
  const std::string& id = request.head.resumed_id;
  return id.empty() ? std::nullopt
                    : state_->stream_origins().VersionOf(KeyOf(request, id));
}

std::optional<std::string> ResumedStreams::SingleVersion(
    const ClassifiedRequest& request) const {
  const VersionHistory& history = state_->version_history();
  const StoreRestoration& restoration = state_->store_restoration();
  const Timestamp now = state_->Now();
  // Endpoints of another version may not have registered again yet.
  if (restoration.MayLackObjects(now))
    return std::nullopt;
  const std::string& service = request.service->name;
  const uint32_t key = ShortHash(service);
  const Timestamp since = now - state_->StreamLifetime(service);
  const auto versions = history.LastServedSince(key, since);
  if (versions.size() != 1)
    return std::nullopt;
  const std::string& version = versions.begin()->first;
  if (history.IsKnownSince(since))
    return version;
  // What served before the endpoints were listed, and does no longer, is known
  // from records only. Those do not show a version that was replaced within
  // moments.
  const Duration oldest_stream = request.route->timeout + kStartMargin;
  const auto age_ms = static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(oldest_stream).count());
  const auto started_at_ms =
      state_->endpoints().EarliestStart(service, version);
  const bool is_older_than_stream =
      started_at_ms &&
      *started_at_ms + age_ms <= GatewayState::UnixMilliseconds();
  return is_older_than_stream &&
                 history.HasReadRecordsSince(restoration.complete_since())
             ? std::optional(version)
             : std::nullopt;
}

asio::awaitable<std::optional<ResumedStreams::Origin>>
ResumedStreams::FindInRecords(RequestExchange& exchange) {
  const ClassifiedRequest& request = exchange.request;
  co_await state_->ReadStreamRecords(kMaxRecordAge);
  std::optional<Origin> origin = co_await Find(request);
  const Duration time_left = request.deadline - state_->Now();
  const std::string& service = request.service->name;
  const bool is_mixed = state_->version_history().IsMixedSince(
      ShortHash(service), state_->Now() - state_->StreamLifetime(service));
  const bool may_appear = is_mixed && !request.head.resumed_id.empty() &&
                          time_left >= kMaxWaitDivisor * kRecordDelay &&
                          !exchange.guard->is_final();
  if (!origin && may_appear) {
    asio::steady_timer timer(state_->io(), kRecordDelay);
    co_await timer.async_wait(kAsTuple);
    co_await state_->ReadStreamRecords(kMaxRecordAge);
    origin = co_await Find(request);
  }
  if (origin && origin->source == OriginSource::kMemory)
    origin->source = OriginSource::kRecord;
  co_return origin;
}

void ResumedStreams::Log(const RequestExchange& exchange,
                         const Origin& origin) {
  state_->metrics().OnStreamResumed(origin.source);
  const CallerHead& head = exchange.request.head;
  LogLine line("stream-resumed");
  line.Add("id", head.id)
      .Add("resumes", head.resumed_id.substr(0, kMaxLoggedIdBytes))
      .Add("service", exchange.request.service->name)
      .Add("source", ToString(origin.source));
  if (!origin.version.empty())
    line.Add("version", origin.version);
  if (const auto read_at = state_->version_history().records_read_at())
    line.AddTime("records_age", state_->Now() - *read_at);
  line.AddTime("elapsed", state_->Now() - exchange.request.received_at);
  state_->log().Info(line);
}

}  // namespace teaselthread
