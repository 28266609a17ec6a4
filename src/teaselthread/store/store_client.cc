#include "teaselthread/store/store_client.h"

#include <utility>

namespace teaselthread {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

StoreClient::StoreClient(GatewayState* state, StoreKind kind, Duration timeout)
    : state_(state),
      kind_(kind),
      timeout_(timeout),
      connection_(state->settings().store()) {}

asio::awaitable<int> StoreClient::Call(http::verb method,
                                       std::string target,
                                       std::string body) {
  const Timestamp called_at = state_->Now();
  const Result<HttpReply> reply =
      co_await connection_.Call(method, target, std::move(body), timeout_);
  const int status = reply ? reply->status : kNoResponse;
  state_->OnStoreCall(kind_, target, status, called_at);
  if (reply)
    state_->OnStoreEpoch(state_->codec().DecodeStoreEpoch(*reply->fields));
  co_return status;
}

asio::awaitable<int> StoreClient::Put(std::string name, std::string body) {
  std::string own_target = state_->codec().ObjectTarget(kind_, name);
  std::string replacement = body;
  const int replaced = co_await Call(http::verb::put, std::move(own_target),
                                     std::move(replacement));
  if (replaced != kNotFound)
    co_return replaced;
  std::string collection_target = state_->codec().ObjectTarget(kind_, "");
  co_return co_await Call(http::verb::post, std::move(collection_target),
                          std::move(body));
}

asio::awaitable<StoreClient::ListResult> StoreClient::List(
    bool may_be_stale,
    std::function<void(const StoreObject&)> on_object) {
  ListResult result;
  for (std::string after;;) {
    std::string target = state_->codec().ListTarget(kind_, after, may_be_stale);
    const Timestamp called_at = state_->Now();
    const Result<HttpReply> reply = co_await connection_.Get(target, timeout_);
    result.status = reply ? reply->status : kNoResponse;
    state_->OnStoreCall(kind_, target, result.status, called_at);
    if (reply)
      state_->OnStoreEpoch(state_->codec().DecodeStoreEpoch(*reply->fields));
    if (result.status != kOk)
      co_return result;
    const Result<StorePage> page = state_->codec().DecodeList(reply->body);
    result.is_malformed = !page;
    if (!page)
      co_return result;
    for (const StoreObject& object : page->objects)
      on_object(object);
    result.is_complete = !page->has_more || page->objects.empty();
    if (result.is_complete)
      co_return result;
    after = page->objects.back().name;
  }
}

}  // namespace teaselthread
