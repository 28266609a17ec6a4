// The platform's object API in memory. POST /fault?mode=MODE makes it fail:
//   up            serve (the default)
//   down          close every connection without an answer
//   lose-replies  carry writes out, then close the connection
//   stale         answer reads with the state of the moment it was told so
// GET /calls answers the number of calls so far.
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
using Kind = std::map<std::string, Object>;

struct Store {
  uint64_t revision = 0;
  std::map<std::string, Kind> kinds;
  std::map<std::string, uint64_t> kind_revisions;
};

class Platform {
 public:
  asio::awaitable<void> Handle(Exchange exchange) {
    const std::string path = exchange.Path();
    if (path == "/fault") {
      SetMode(exchange.Query("mode", "up"));
      co_await exchange.Reply(200, "{}");
      co_return;
    }
    if (path == "/calls") {
      co_await exchange.Reply(200, std::to_string(calls_));
      co_return;
    }
    ++calls_;
    if (mode_ == "down") {
      exchange.Drop();
      co_return;
    }
    const std::string rest = path.substr(path.find('/', 1) + 1);
    if (path.rfind("/watch/", 0) == 0)
      co_await Watch(exchange, rest);
    else if (rest.find('/') == std::string::npos)
      co_await exchange.Reply(200, Render(rest));
    else
      co_await HandleObject(exchange, rest.substr(0, rest.find('/')),
                            rest.substr(rest.find('/') + 1));
  }

 private:
  const Store& readable() const { return mode_ == "stale" ? stale_ : store_; }

  void SetMode(const std::string& mode) {
    if (mode == "stale")
      stale_ = store_;
    mode_ = mode;
  }

  std::string Render(const std::string& kind) const {
    json::array objects;
    auto found = readable().kinds.find(kind);
    if (found != readable().kinds.end()) {
      for (const auto& [name, object] : found->second)
        objects.push_back(RenderObject(name, object));
    }
    return json::serialize(json::object{{"revision", readable().revision},
                                        {"objects", std::move(objects)}});
  }

  static json::object RenderObject(const std::string& name,
                                   const Object& object) {
    return {
        {"name", name}, {"version", object.version}, {"value", object.value}};
  }

  static std::string RenderVersion(uint64_t version) {
    return json::serialize(json::object{{"version", version}});
  }

  asio::awaitable<void> Watch(Exchange exchange, std::string kind) {
    const uint64_t since = exchange.Number("since", 0);
    const auto give_up =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(exchange.Number("wait_ms", 1000));
    asio::steady_timer changed(exchange.socket.get_executor());
    watchers_.insert(&changed);
    while (mode_ != "down" && store_.kind_revisions[kind] <= since &&
           std::chrono::steady_clock::now() < give_up) {
      changed.expires_at(give_up);
      co_await changed.async_wait(kAsTuple);
    }
    watchers_.erase(&changed);
    if (mode_ == "down")
      exchange.Drop();
    else if (store_.kind_revisions[kind] > since)
      co_await exchange.Reply(200, Render(kind));
    else
      co_await exchange.Reply(204, "");
  }

  asio::awaitable<void> HandleObject(Exchange exchange,
                                     std::string kind,
                                     std::string name) {
    if (exchange.request.method() == http::verb::get) {
      auto objects = readable().kinds.find(kind);
      const bool exists =
          objects != readable().kinds.end() && objects->second.contains(name);
      if (exists) {
        const json::object body = RenderObject(name, objects->second.at(name));
        co_await exchange.Reply(200, json::serialize(body));
      } else {
        co_await exchange.Reply(404, "{}");
      }
      co_return;
    }
    Kind& objects = store_.kinds[kind];
    const uint64_t expected = exchange.Number("version", 0);
    const uint64_t current = objects.contains(name) ? objects[name].version : 0;
    if (expected != current) {
      co_await exchange.Reply(409, "{}");
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
      exchange.Drop();
    else
      co_await exchange.Reply(200, RenderVersion(revision));
  }

  Store store_;
  Store stale_;
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
