#include "streams/record_store.h"

#include <boost/json.hpp>
#include <utility>

#include "platform/wire_names.h"

namespace teaselthread::test {
namespace {

namespace json = boost::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

}  // namespace

RecordStore::RecordStore(asio::io_context* io, StoreKind kind)
    : acceptor_(*io, {asio::ip::make_address("127.0.0.1"), 0}), kind_(kind) {
  asio::co_spawn(*io, Accept(), asio::detached);
}

void RecordStore::Restore() {
  objects = copy_;
  ++epoch_;
}

asio::awaitable<void> RecordStore::Accept() {
  for (;;) {
    auto [failure, socket] = co_await acceptor_.async_accept(kAsTuple);
    if (failure)
      co_return;
    asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                   asio::detached);
  }
}

asio::awaitable<void> RecordStore::Serve(tcp::socket socket) {
  beast::flat_buffer buffer;
  for (;;) {
    Request request;
    auto [failure, size] =
        co_await http::async_read(socket, buffer, request, kAsTuple);
    if (failure)
      co_return;
    if (request.method() != http::verb::get && unanswered_writes > 0) {
      --unanswered_writes;
      continue;
    }
    http::response<http::string_body> response;
    response.result(static_cast<unsigned>(Apply(request, &response.body())));
    if (request.method() != http::verb::get && restores_after_write) {
      restores_after_write = false;
      Restore();
    }
    response.set({platform::kStoreEra.data(), platform::kStoreEra.size()},
                 std::to_string(epoch_));
    response.prepare_payload();
    co_await http::async_write(socket, response, kAsTuple);
  }
}

int RecordStore::Apply(const Request& request, std::string* body) {
  const std::string collection = codec_.ObjectTarget(kind_, "");
  const std::string target(request.target());
  if (!target.starts_with(collection))
    return kNotFound;
  ++(request.method() == http::verb::get ? reads : writes);
  if (is_down)
    return kUnavailable;
  if (request.method() == http::verb::get) {
    *body = MakeList();
    return kOk;
  }
  if (request.method() == http::verb::post)
    return Write(request, "");
  std::string name = target.substr(collection.size() + 1);
  const size_t query = name.find('?');
  const std::string condition =
      query == std::string::npos ? "" : name.substr(name.find('=') + 1);
  name = name.substr(0, query);
  const auto found = objects.find(name);
  if (found == objects.end())
    return kNotFound;
  if (!condition.empty() && condition != std::to_string(found->second.revision))
    return kConflict;
  if (request.method() == http::verb::put)
    return Write(request, name);
  objects.erase(found);
  return kOk;
}

int RecordStore::Write(const Request& request, const std::string& name) {
  const json::value document = json::parse(request.body());
  const std::string in_body(
      document.at("metadata").at("name").as_string().c_str());
  if (name.empty() ? objects.contains(in_body) : name != in_body)
    return kConflict;
  objects[in_body] = {++revision_, document.at("spec")};
  return kOk;
}

std::string RecordStore::MakeList() const {
  json::array items;
  for (const auto& [name, object] : objects) {
    json::object item;
    item["metadata"] = {{"name", name}, {"revision", object.revision}};
    item["spec"] = object.content;
    items.push_back(std::move(item));
  }
  json::object list;
  list["items"] = std::move(items);
  list["has_more"] = false;
  list["at"] = revision_;
  return json::serialize(list);
}

}  // namespace teaselthread::test
