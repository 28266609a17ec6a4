// In-memory stand-in for the platform's object API. POST /fault?mode=MODE sets
// its failure mode:
//   up            serve normally (the default)
//   down          close every connection without a response
//   lose-replies  apply writes, then close the connection without a response
//   stale         serve reads from a snapshot taken when the mode was set
// GET /calls returns the number of calls so far.
#include <boost/json.hpp>
#include <map>
#include <set>

#include "standin_main.h"
#include "standin_server.h"

namespace teaselthread::standins {
namespace {

namespace json = boost::json;

struct Object {
  uint64_t version = 0;
  std::string value;
};
using ObjectsByName = std::map<std::string, Object>;

struct Store {
  uint64_t revision = 0;
  std::map<std::string, ObjectsByName> kinds;
  std::map<std::string, uint64_t> kind_revisions;
};

class Platform {
 public:
  asio::awaitable<void> Handle(Exchange exchange) {
    const std::string path = exchange.Path();
    if (path == "/fault") {
      SetMode(exchange.Query("mode", "up"));
      co_await exchange.Respond(200, "{}");
      co_return;
    }
    if (path == "/calls") {
      co_await exchange.Respond(200, std::to_string(calls_));
      co_return;
    }
    ++calls_;
    if (mode_ == "down") {
      exchange.Reset();
      co_return;
    }
    const std::string object_path = path.substr(path.find('/', 1) + 1);
    if (path.rfind("/watch/", 0) == 0)
      co_await Watch(exchange, object_path);
    else if (object_path.find('/') == std::string::npos)
      co_await exchange.Respond(200, SerializeKind(object_path));
    else
      co_await HandleObject(exchange,
                            object_path.substr(0, object_path.find('/')),
                            object_path.substr(object_path.find('/') + 1));
  }

 private:
  const Store& readable() const {
    return mode_ == "stale" ? snapshot_ : store_;
  }

  void SetMode(const std::string& mode) {
    if (mode == "stale")
      snapshot_ = store_;
    mode_ = mode;
  }

  std::string SerializeKind(const std::string& kind) const {
    json::array objects;
    auto found = readable().kinds.find(kind);
    if (found != readable().kinds.end()) {
      for (const auto& [name, object] : found->second)
        objects.push_back(ObjectToJson(name, object));
    }
    return json::serialize(json::object{{"revision", readable().revision},
                                        {"objects", std::move(objects)}});
  }

  static json::object ObjectToJson(const std::string& name,
                                   const Object& object) {
    return {
        {"name", name}, {"version", object.version}, {"value", object.value}};
  }

  static std::string SerializeVersion(uint64_t version) {
    return json::serialize(json::object{{"version", version}});
  }

  asio::awaitable<void> Watch(Exchange exchange, std::string kind) {
    const uint64_t since = exchange.Number("since", 0);
    const auto deadline =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(exchange.Number("wait_ms", 1000));
    asio::steady_timer changed(exchange.socket.get_executor());
    watchers_.insert(&changed);
    while (mode_ != "down" && store_.kind_revisions[kind] <= since &&
           std::chrono::steady_clock::now() < deadline) {
      changed.expires_at(deadline);
      co_await changed.async_wait(kAsTuple);
    }
    watchers_.erase(&changed);
    if (mode_ == "down")
      exchange.Reset();
    else if (store_.kind_revisions[kind] > since)
      co_await exchange.Respond(200, SerializeKind(kind));
    else
      co_await exchange.Respond(204, "");
  }

  asio::awaitable<void> HandleObject(Exchange exchange,
                                     std::string kind,
                                     std::string name) {
    if (exchange.request.method() == http::verb::get) {
      auto objects = readable().kinds.find(kind);
      const bool exists =
          objects != readable().kinds.end() && objects->second.contains(name);
      if (exists) {
        const json::object body = ObjectToJson(name, objects->second.at(name));
        co_await exchange.Respond(200, json::serialize(body));
      } else {
        co_await exchange.Respond(404, "{}");
      }
      co_return;
    }
    ObjectsByName& objects = store_.kinds[kind];
    const uint64_t expected = exchange.Number("version", 0);
    const uint64_t current = objects.contains(name) ? objects[name].version : 0;
    if (expected != current) {
      co_await exchange.Respond(409, "{}");
      co_return;
    }
    const uint64_t revision = ++store_.revision;
    store_.kind_revisions[kind] = revision;
    if (exchange.request.method() == http::verb::delete_)
      objects.erase(name);
    else
      objects[name] = {revision, exchange.request.body()};
    for (asio::steady_timer* watcher : watchers_)
      watcher->cancel();
    if (mode_ == "lose-replies")
      exchange.Reset();
    else
      co_await exchange.Respond(200, SerializeVersion(revision));
  }

  Store store_;
  Store snapshot_;
  std::string mode_ = "up";
  uint64_t calls_ = 0;
  std::set<asio::steady_timer*> watchers_;
};

}  // namespace

int RunPlatform(uint16_t port) {
  asio::io_context io(1);
  Platform platform;
  return Serve(io, port,
               [&](Exchange exchange) { return platform.Handle(exchange); });
}

}  // namespace teaselthread::standins
