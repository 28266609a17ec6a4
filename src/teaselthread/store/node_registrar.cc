#include "teaselthread/store/node_registrar.h"

#include <boost/json.hpp>

namespace teaselthread {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr Duration kCallTimeout = milliseconds(800);
constexpr Duration kRetryPause = milliseconds(500);
// Records serve only for discovery; heartbeats carry the changes between two
// reads.
constexpr Duration kReadInterval = milliseconds(5'000);
// Gives nodes that start at the same time the chance to write their records
// before the first read.
constexpr Duration kFirstReadDelay = milliseconds(600);
constexpr int kConflict = 409;

std::string StringField(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

}  // namespace

NodeRegistrar::NodeRegistrar(GatewayState* state)
    : state_(state), client_(state, StoreKind::kNodes, kCallTimeout) {}

void NodeRegistrar::Start() {
  asio::co_spawn(state_->io(), Run(), asio::detached);
}

asio::awaitable<void> NodeRegistrar::Run() {
  asio::steady_timer timer(state_->io());
  while (!state_->leaving() && !co_await Register()) {
    timer.expires_after(kRetryPause);
    co_await timer.async_wait(kAsTuple);
  }
  timer.expires_after(kFirstReadDelay);
  co_await timer.async_wait(kAsTuple);
  for (bool may_be_stale = false; !state_->leaving(); may_be_stale = true) {
    const bool is_missing = co_await ReadRecords(may_be_stale);
    if (is_missing && !state_->leaving()) {
      LogLine line("record-missing");
      line.Add("written", co_await Register());
      state_->log().Warn(line);
    }
    timer.expires_after(kReadInterval);
    co_await timer.async_wait(kAsTuple);
  }
}

asio::awaitable<bool> NodeRegistrar::Register() {
  const Peer& self = state_->peers().self();
  json::object content;
  content["zone"] = self.zone;
  content["peer_address"] = self.peer_address.ToString();
  content["front_address"] = self.front_address.ToString();
  StoreObject object;
  object.name = self.name;
  object.content = std::move(content);
  const std::string body = state_->codec().EncodeObject(object);
  std::string collection_target =
      state_->codec().ObjectTarget(StoreKind::kNodes, "");
  const int created = co_await client_.Call(http::verb::post,
                                            std::move(collection_target), body);
  if (created != kConflict)
    co_return IsSuccess(created);
  std::string own_target =
      state_->codec().ObjectTarget(StoreKind::kNodes, self.name);
  const int replaced =
      co_await client_.Call(http::verb::put, std::move(own_target), body);
  co_return IsSuccess(replaced);
}

asio::awaitable<bool> NodeRegistrar::ReadRecords(bool may_be_stale) {
  has_own_record_ = false;
  std::function<void(const StoreObject&)> on_object =
      [this](const StoreObject& object) { OnRecord(object); };
  const StoreClient::ListResult result =
      co_await client_.List(may_be_stale, std::move(on_object));
  if (result.is_malformed)
    state_->metrics().OnUnreadableEntry();
  if (!result.is_complete)
    co_return false;
  state_->peers().OnRecordsRead(state_->Now());
  co_return !has_own_record_;
}

void NodeRegistrar::OnRecord(const StoreObject& object) {
  const json::object* fields = object.content.if_object();
  if (!fields) {
    state_->metrics().OnUnreadableEntry();
    return;
  }
  const auto peer_address =
      SocketAddress::Parse(StringField(*fields, "peer_address"));
  const auto front_address =
      SocketAddress::Parse(StringField(*fields, "front_address"));
  if (!peer_address || !front_address) {
    state_->metrics().OnUnreadableEntry();
    return;
  }
  Peer peer{object.name, StringField(*fields, "zone"), *peer_address,
            *front_address, state_->peers().self().serving};
  if (peer == state_->peers().self())
    has_own_record_ = true;
  peer.serving = false;
  state_->peers().OnRecord(peer, state_->Now());
}

asio::awaitable<void> NodeRegistrar::Deregister() {
  std::string target = state_->codec().ObjectTarget(StoreKind::kNodes,
                                                    state_->settings().name());
  std::string no_body;
  const int status = co_await client_.Call(
      http::verb::delete_, std::move(target), std::move(no_body));
  if (IsSuccess(status))
    co_return;
  LogLine line("deregistration-failed");
  line.Add("status", status);
  state_->log().Warn(line);
}

}  // namespace teaselthread
