#include "teaselthread/platform_client.h"

#include <boost/json.hpp>

namespace teaselthread {
namespace {

namespace json = boost::json;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

Error UnexpectedReply(const std::string& target, const HttpReply& reply) {
  const std::string detail =
      "platform " + target + ": status " + std::to_string(reply.status);
  if (reply.status == kNotFound)
    return {ErrorCode::kNotFound, detail};
  if (reply.status == kConflict)
    return {ErrorCode::kConflict, detail};
  return {ErrorCode::kUnavailable, detail};
}

Error MalformedReply(const std::string& target) {
  return {ErrorCode::kMalformed, "platform " + target + ": malformed reply"};
}

PlatformObject ReadObject(const json::value& value) {
  return {std::string(value.at("name").as_string()),
          value.at("version").to_number<uint64_t>(),
          std::string(value.at("value").as_string())};
}

Result<PlatformList> ReadList(const std::string& target,
                              const std::string& body) {
  try {
    const json::value value = json::parse(body);
    PlatformList list;
    list.revision = value.at("revision").to_number<uint64_t>();
    for (const json::value& object : value.at("objects").as_array())
      list.objects.push_back(ReadObject(object));
    return list;
  } catch (const std::exception&) {
    return MalformedReply(target);
  }
}

std::string VersionedTarget(const std::string& kind,
                            const std::string& name,
                            uint64_t version) {
  return "/objects/" + kind + "/" + name +
         "?version=" + std::to_string(version);
}

}  // namespace

asio::awaitable<Result<PlatformObject>> PlatformClient::Read(std::string kind,
                                                             std::string name) {
  const std::string target = "/objects/" + kind + "/" + name;
  Result<HttpReply> reply =
      co_await HttpCall(address_, http::verb::get, target, "", timeout_);
  if (!reply)
    co_return reply.last_reason();
  if (reply->status != kOk)
    co_return UnexpectedReply(target, *reply);
  try {
    co_return ReadObject(json::parse(reply->body));
  } catch (const std::exception&) {
    co_return MalformedReply(target);
  }
}

asio::awaitable<Result<PlatformList>> PlatformClient::List(std::string kind) {
  const std::string target = "/objects/" + kind;
  Result<HttpReply> reply =
      co_await HttpCall(address_, http::verb::get, target, "", timeout_);
  if (!reply)
    co_return reply.last_reason();
  if (reply->status != kOk)
    co_return UnexpectedReply(target, *reply);
  co_return ReadList(target, reply->body);
}

asio::awaitable<Result<PlatformList>> PlatformClient::Watch(std::string kind,
                                                            uint64_t since,
                                                            Duration wait) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string target = "/watch/" + kind +
                             "?since=" + std::to_string(since) +
                             "&wait_ms=" + std::to_string(wait_ms);
  Result<HttpReply> reply =
      co_await HttpCall(address_, http::verb::get, target, "", wait + timeout_);
  if (!reply)
    co_return reply.last_reason();
  if (reply->status == kNoContent)
    co_return PlatformList{since, {}};
  if (reply->status != kOk)
    co_return UnexpectedReply(target, *reply);
  co_return ReadList(target, reply->body);
}

asio::awaitable<Result<uint64_t>> PlatformClient::Write(
    std::string kind,
    std::string name,
    std::string value,
    uint64_t expected_version) {
  return Change(http::verb::put, VersionedTarget(kind, name, expected_version),
                std::move(value));
}

asio::awaitable<Result<uint64_t>> PlatformClient::Remove(
    std::string kind,
    std::string name,
    uint64_t expected_version) {
  return Change(http::verb::delete_,
                VersionedTarget(kind, name, expected_version), "");
}

asio::awaitable<Result<uint64_t>> PlatformClient::Change(http::verb method,
                                                         std::string target,
                                                         std::string body) {
  Result<HttpReply> reply =
      co_await HttpCall(address_, method, target, std::move(body), timeout_);
  if (!reply)
    co_return reply.last_reason();
  if (reply->status != kOk)
    co_return UnexpectedReply(target, *reply);
  try {
    co_return json::parse(reply->body).at("version").to_number<uint64_t>();
  } catch (const std::exception&) {
    co_return MalformedReply(target);
  }
}

}  // namespace teaselthread
