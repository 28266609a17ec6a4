#include "teaselthread/callers/caller_server.h"

#include <algorithm>
#include <boost/json.hpp>

#include "teaselthread/callers/caller_request_parser.h"
#include "teaselthread/callers/finish_output.h"
#include "teaselthread/callers/http_response_sink.h"
#include "teaselthread/callers/problem.h"
#include "teaselthread/io_timeout.h"

namespace teaselthread {
namespace {

namespace json = boost::json;

constexpr int kHttp11 = 11;
constexpr Duration kRetryAfter = std::chrono::milliseconds(1'000);

CallerHttpResponse MakeText(http::status status,
                            std::string body,
                            std::string_view content_type) {
  CallerHttpResponse response(status, kHttp11);
  response.set(http::field::content_type,
               {content_type.data(), content_type.size()});
  response.body() = std::move(body);
  return response;
}

std::string_view PathOf(const CallerHttpRequest& request) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  return target.substr(0, target.find('?'));
}

std::string QueryValue(const CallerHttpRequest& request,
                       std::string_view name) {
  std::string_view query(request.target().data(), request.target().size());
  const size_t mark = query.find('?');
  if (mark == std::string_view::npos)
    return {};
  query.remove_prefix(mark + 1);
  while (!query.empty()) {
    const std::string_view item = query.substr(0, query.find('&'));
    if (item.substr(0, name.size()) == name &&
        item.substr(name.size(), 1) == "=") {
      return std::string(item.substr(name.size() + 1));
    }
    query.remove_prefix(std::min(item.size() + 1, query.size()));
  }
  return {};
}

RefusalReason ReasonOf(const boost::system::error_code& failure,
                       bool timed_out) {
  if (timed_out)
    return RefusalReason::kTooSlow;
  if (failure == http::error::header_limit ||
      failure == http::error::body_limit) {
    return RefusalReason::kOversized;
  }
  return RefusalReason::kMalformed;
}

}  // namespace

Result<std::unique_ptr<CallerServer>> CallerServer::Start(NodeState* state,
                                                          EntryService* entry) {
  std::unique_ptr<CallerServer> server(new CallerServer(state, entry));
  auto listener = Listener::Start(
      &state->io(), state->settings().caller_listen(),
      [state, server = server.get()](tcp::socket socket) {
        asio::co_spawn(state->io(), server->ServeConnection(std::move(socket)),
                       asio::detached);
      });
  if (!listener)
    return listener.last_reason();
  server->listener_ = listener.TakeValue();
  return server;
}

CallerServer::CallerServer(NodeState* state, EntryService* entry)
    : state_(state), entry_(entry) {}

asio::awaitable<void> CallerServer::ServeConnection(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const CallerLimits& limits = state_->settings().caller_limits();
  ++connections_;
  if (connections_ > limits.max_connections) {
    state_->metrics().OnRefusal(RefusalReason::kTooManyConnections);
    co_await Write(socket,
                   MakeUnreadProblem(
                       {RefusalReason::kTooManyConnections, kRetryAfter}, ""));
  } else {
    beast::flat_buffer buffer;
    while (co_await ServeOneRequest(socket, buffer)) {
    }
  }
  co_await FinishOutput(socket);
  --connections_;
}

asio::awaitable<bool> CallerServer::ServeOneRequest(
    tcp::socket& socket,
    beast::flat_buffer& buffer) {
  const CallerLimits& limits = state_->settings().caller_limits();
  IoTimeout timeout(socket);
  if (buffer.size() == 0) {
    timeout.Arm(limits.idle_timeout);
    auto [failure, count] = co_await socket.async_read_some(
        buffer.prepare(limits.max_header_bytes), kAsTuple);
    if (failure)
      co_return false;
    buffer.commit(count);
  }
  http::request_parser<http::string_body> parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  timeout.Arm(limits.request_timeout);
  auto [failure, count] =
      co_await http::async_read(socket, buffer, parser, kAsTuple);
  timeout.Disarm();
  if (!failure)
    co_return co_await Dispatch(socket, parser.get());
  const bool caller_disconnected =
      !timeout.expired() && (failure == http::error::end_of_stream ||
                             failure == http::error::partial_message ||
                             failure == asio::error::connection_reset);
  if (caller_disconnected)
    co_return false;
  const RefusalReason reason = ReasonOf(failure, timeout.expired());
  state_->metrics().OnRefusal(reason);
  CallerHttpResponse refusal =
      MakeUnreadProblem({reason, Duration::zero()}, failure.message());
  refusal.keep_alive(false);
  co_await Write(socket, std::move(refusal));
  co_return false;
}

asio::awaitable<bool> CallerServer::Dispatch(tcp::socket& socket,
                                             const CallerHttpRequest& request) {
  const bool keep_alive = request.keep_alive() && !state_->leaving();
  const std::string path(PathOf(request));
  const bool is_chat =
      path == kChatPath && request.method() == http::verb::post;
  const bool is_service = path.substr(0, kServicesPath.size()) == kServicesPath;
  if (is_chat || is_service) {
    Result<CallerRequest> parsed =
        is_chat ? ParseChat(request) : ParseServiceCall(request);
    if (!parsed) {
      state_->metrics().OnRefusal(RefusalReason::kMalformed);
      CallerHttpResponse refusal =
          MakeUnreadProblem({RefusalReason::kMalformed, Duration::zero()},
                            parsed.last_reason().detail);
      refusal.keep_alive(keep_alive);
      co_return co_await Write(socket, std::move(refusal));
    }
    CallerRequest caller_request = parsed.TakeValue();
    caller_request.id = state_->incarnation().ToString() + "-" +
                        std::to_string(++last_request_number_);
    HttpResponseSink sink(&socket, caller_request.id, keep_alive);
    co_await entry_->Serve(std::move(caller_request), sink);
    co_return sink.connection_is_usable();
  }
  CallerHttpResponse response;
  if (path == "/v1/address")
    response = MakeAddressResponse(request);
  else if (path == "/metrics")
    response = MakeMetricsResponse();
  else if (path == "/readyz")
    response = MakeReadyResponse();
  else if (path == "/healthz")
    response = MakeText(http::status::ok, "ok\n", "text/plain");
  else
    response = MakeNotFound(path);
  response.keep_alive(keep_alive);
  co_return co_await Write(socket, std::move(response));
}

asio::awaitable<bool> CallerServer::Write(tcp::socket& socket,
                                          CallerHttpResponse response) {
  response.prepare_payload();
  IoTimeout timeout(socket);
  timeout.Arm(state_->settings().caller_limits().request_timeout);
  auto [failure, written] =
      co_await http::async_write(socket, response, kAsTuple);
  co_return !failure && response.keep_alive();
}

CallerHttpResponse CallerServer::MakeAddressResponse(
    const CallerHttpRequest& request) {
  const auto configuration = state_->configuration().current();
  if (!configuration) {
    state_->metrics().OnRefusal(RefusalReason::kNotReady);
    return MakeUnreadProblem({RefusalReason::kNotReady, kRetryAfter},
                             state_->NotReadyReason());
  }
  std::vector<const Member*> members = state_->membership().serving();
  std::erase_if(members, [&](const Member* member) {
    return configuration->ZoneIsOut(member->zone) ||
           configuration->VmIsOut(member->name) ||
           member->status != MemberStatus::kAlive;
  });
  const std::string zone = QueryValue(request, "zone");
  const bool zone_has_members =
      std::any_of(members.begin(), members.end(),
                  [&](const Member* member) { return member->zone == zone; });
  if (zone_has_members) {
    std::erase_if(members,
                  [&](const Member* member) { return member->zone != zone; });
  }
  if (members.empty()) {
    state_->metrics().OnRefusal(RefusalReason::kLeaving);
    return MakeUnreadProblem({RefusalReason::kLeaving, kRetryAfter},
                             "no node takes new callers");
  }
  std::uniform_int_distribution<size_t> pick(0, members.size() - 1);
  const Member& member = *members[pick(state_->random())];
  const Ticket ticket(member.incarnation, state_->Wall(), state_->random()());
  json::object body;
  body["address"] = member.caller_address;
  body["node"] = member.name;
  body["ttl_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                       state_->settings().address_ttl())
                       .count();
  body["ticket"] = ticket.ToString();
  return MakeText(http::status::ok, json::serialize(body) + "\n",
                  "application/json");
}

CallerHttpResponse CallerServer::MakeReadyResponse() const {
  const std::string reason = state_->NotReadyReason();
  return reason.empty() ? MakeText(http::status::ok, "ready\n", "text/plain")
                        : MakeText(http::status::service_unavailable,
                                   "not ready: " + reason + "\n", "text/plain");
}

CallerHttpResponse CallerServer::MakeMetricsResponse() const {
  return MakeText(http::status::ok,
                  state_->metrics().Render(state_->CurrentGauges()),
                  "text/plain; version=0.0.4");
}

}  // namespace teaselthread
