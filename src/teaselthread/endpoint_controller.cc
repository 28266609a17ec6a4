#include "teaselthread/endpoint_controller.h"

#include <boost/json.hpp>

namespace teaselthread {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(100);
constexpr Duration kGuardedPollInterval = milliseconds(500);
constexpr Duration kHandOverInterval = milliseconds(300);
constexpr Duration kHandOverTimeout = milliseconds(500);
constexpr int kOk = 200;

// The format is {"running": 3, "cold": false}.
std::optional<EndpointReport> ParseReport(const std::string& body) {
  try {
    const json::value value = json::parse(body);
    return EndpointReport{value.at("running").to_number<uint32_t>(),
                          value.at("cold").as_bool()
                              ? EndpointTemperature::kCold
                              : EndpointTemperature::kWarm};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

EndpointController::EndpointController(NodeState* state,
                                       OwnerService* owner,
                                       PeerClient* peers)
    : state_(state), owner_(owner), peers_(peers) {
  TimerService& timers = state_->timers();
  const Timestamp now = state_->Now();
  timers.Subscribe(kTickInterval, now, [this](Timestamp t) { Tick(t); });
  timers.Subscribe(kHandOverInterval, now,
                   [this](Timestamp) { SendHandOverRequests(); });
}

wire::HandOverReply EndpointController::OnHandOver(
    const wire::HandOverRequest& request) {
  const HandOverResult result = state_->admission().HandOver(
      request.endpoint(), request.new_owner(), state_->Now());
  wire::HandOverReply reply;
  reply.set_load(result.load);
  reply.set_hands_over(result.hands_over);
  reply.set_handed_over(result.handed_over);
  return reply;
}

void EndpointController::Tick(Timestamp now) {
  owner_->Resolve(state_->admission().Tick(now));
  PollDue(now);
}

void EndpointController::PollDue(Timestamp now) {
  std::map<std::string, PollState> polls;
  for (const std::string& name : state_->admission().OwnedEndpoints()) {
    const Endpoint* endpoint = state_->directory().Find(name);
    if (!endpoint)
      continue;
    auto existing = polls_.find(name);
    const bool is_unchanged =
        existing != polls_.end() &&
        existing->second.connection->address() == endpoint->address;
    PollState poll =
        is_unchanged
            ? existing->second
            : PollState{now,
                        std::make_shared<HttpConnection>(endpoint->address)};
    if (poll.due <= now && !poll.connection->busy()) {
      asio::co_spawn(state_->io(), Poll(name, poll.connection), asio::detached);
      // A guarded endpoint cannot admit calls until it has reported its load.
      poll.due = now + (state_->admission().IsGuarded(name)
                            ? kGuardedPollInterval
                            : state_->settings().timing().endpoint_poll);
    }
    polls.emplace(name, std::move(poll));
  }
  polls_ = std::move(polls);
}

asio::awaitable<void> EndpointController::Poll(
    std::string name,
    std::shared_ptr<HttpConnection> connection) {
  const Result<HttpReply> reply = co_await connection->Get(
      "/load", state_->settings().timing().connect_timeout);
  const Timestamp now = state_->Now();
  if (!reply) {
    if (reply.last_reason().code == ErrorCode::kUnavailable)
      state_->admission().OnEndpointUnreachable(name, now);
    co_return;
  }
  const std::optional<EndpointReport> report = ParseReport(reply->body);
  if (reply->status == kOk && report)
    state_->admission().OnEndpointReport(name, *report, now);
}

void EndpointController::SendHandOverRequests() {
  for (const RequestHandOver& pending :
       state_->admission().PendingHandOvers()) {
    const Member* previous = state_->membership().Find(pending.previous_owner);
    if (!previous || previous->name == state_->membership().self().name)
      continue;
    wire::HandOverRequest request;
    request.set_endpoint(pending.endpoint);
    request.set_new_owner(state_->membership().self().name);
    peers_->Call(
        &PeerClient::Methods::HandOver, previous->peer_address, request,
        kHandOverTimeout,
        [this, pending](const std::optional<wire::HandOverReply>& reply) {
          if (!reply)
            return;
          state_->admission().OnHandedOver(
              pending.endpoint, pending.previous_owner,
              {reply->hands_over(), reply->handed_over(), reply->load()},
              state_->Now());
        });
  }
}

}  // namespace teaselthread
