#include "store.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace review {
namespace {

namespace json = boost::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kBusy = 503;
constexpr size_t kPageItems = 500;
constexpr auto kCutCheck = milliseconds(20);
constexpr std::string_view kPrefix = "/-/objects/";

uint64_t ToNumber(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

Store::Store(asio::io_context* io, Record* record) : io_(io), record_(record) {}

uint16_t Store::AddPort() {
  auto port = std::make_unique<Port>(io_);
  const uint16_t number = port->acceptor.local_endpoint().port();
  asio::co_spawn(*io_, Accept(port.get()), asio::detached);
  ports_.emplace(number, std::move(port));
  return number;
}

void Store::SetCut(uint16_t port, bool cut) {
  ports_.at(port)->is_cut = cut;
  record_->Line("store: port " + std::to_string(port) +
                (cut ? " is cut" : " is no longer cut"));
}

void Store::Put(const std::string& kind,
                const std::string& name,
                json::object spec) {
  Object& object = content_.kinds[kind][name];
  if (object.spec == json::value(spec))
    return;
  object.spec = std::move(spec);
  Note(kind, name, object, false);
  record_->Line("store: put " + kind + "/" + name + " " +
                json::serialize(object.spec));
}

void Store::Remove(const std::string& kind, const std::string& name) {
  Objects& objects = content_.kinds[kind];
  const auto found = objects.find(name);
  if (found == objects.end())
    return;
  const Object object = found->second;
  objects.erase(found);
  Note(kind, name, object, true);
  record_->Line("store: removed " + kind + "/" + name);
}

bool Store::Has(const std::string& kind, const std::string& name) const {
  const auto found = content_.kinds.find(kind);
  return found != content_.kinds.end() && found->second.contains(name);
}

void Store::SetDown(bool down) {
  is_down_ = down;
  record_->Line(down ? "store: down" : "store: up");
  if (!down)
    return;
  for (const auto& socket : sockets_)
    ResetSocket(*socket);
  WakeWatches();
}

void Store::SetBusy(bool busy) {
  is_busy_ = busy;
  record_->Line(busy ? "store: busy" : "store: up");
  WakeWatches();
}

void Store::TakeCopy() {
  copy_ = content_;
  record_->Line("store: copy taken at revision " +
                std::to_string(copy_.revision));
}

void Store::Restore() {
  record_->Line("store: restored from revision " +
                std::to_string(content_.revision) + " to " +
                std::to_string(copy_.revision));
  content_ = copy_;
  ++era_;
}

Store::Target Store::Parse(const std::string& text) {
  Target target;
  std::string path = text.substr(0, text.find('?'));
  std::string query =
      path.size() < text.size() ? text.substr(path.size() + 1) : std::string();
  if (path.starts_with(kPrefix))
    path = path.substr(kPrefix.size());
  const size_t slash = path.find('/');
  target.kind = path.substr(0, slash);
  if (slash != std::string::npos)
    target.name = path.substr(slash + 1);
  const size_t rest = target.name.find('/');
  if (rest != std::string::npos) {
    target.is_status = target.name.substr(rest) == "/status";
    target.name.resize(rest);
  }
  while (!query.empty()) {
    const std::string item = query.substr(0, query.find('&'));
    query.erase(0, item.size() + 1);
    const size_t equals = item.find('=');
    if (equals != std::string::npos)
      target.query[item.substr(0, equals)] = item.substr(equals + 1);
  }
  return target;
}

json::object Store::ToJson(const std::string& name, const Object& of) {
  json::object metadata{{"name", name},
                        {"revision", of.revision},
                        {"created", 1},
                        {"finalizers", json::array()},
                        {"delete_pending", false}};
  return {{"metadata", std::move(metadata)},
          {"spec", of.spec},
          {"status", of.status}};
}

asio::awaitable<void> Store::Accept(Port* port) {
  for (;;) {
    auto [failure, socket] = co_await port->acceptor.async_accept(kAsTuple);
    if (failure)
      co_return;
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    if (is_down_) {
      ResetSocket(*shared);
      continue;
    }
    sockets_.insert(shared);
    asio::co_spawn(*io_, Serve(shared, port), asio::detached);
  }
}

asio::awaitable<void> Store::Serve(std::shared_ptr<tcp::socket> socket,
                                   Port* port) {
  beast::flat_buffer buffer;
  for (;;) {
    Request request;
    auto [failure, count] =
        co_await http::async_read(*socket, buffer, request, kAsTuple);
    if (failure)
      break;
    const bool was_cut = port->is_cut;
    const Reply reply = co_await Handle(request);
    if (was_cut || port->is_cut) {
      while (port->is_cut)
        co_await Sleep(*io_, kCutCheck);
      break;
    }
    if (request.method() != http::verb::get)
      record_->Line("store: " + std::string(request.method_string()) + " " +
                    std::string(request.target()) + " " +
                    std::to_string(request.body().size()) + " bytes, status " +
                    std::to_string(reply.status));
    if (reply.is_cut || is_down_)
      break;
    http::response<http::string_body> response(
        static_cast<http::status>(reply.status), 11);
    response.set(http::field::content_type, "application/json");
    response.set("Store-Era", std::to_string(era_));
    response.body() = reply.body;
    response.prepare_payload();
    auto [write_failure, written] =
        co_await http::async_write(*socket, response, kAsTuple);
    if (write_failure)
      break;
  }
  ResetSocket(*socket);
  sockets_.erase(socket);
}

asio::awaitable<Store::Reply> Store::Handle(const Request& request) {
  const Target target = Parse(std::string(request.target()));
  if (is_busy_) {
    Reply busy;
    busy.status = kBusy;
    co_return busy;
  }
  if (request.method() != http::verb::get)
    co_return Change(request, target);
  if (!target.name.empty()) {
    Reply reply;
    const auto kind = content_.kinds.find(target.kind);
    if (kind == content_.kinds.end() || !kind->second.contains(target.name))
      reply.status = kNotFound;
    else
      reply.body =
          json::serialize(ToJson(target.name, kind->second.at(target.name)));
    co_return reply;
  }
  const auto since = target.query.find("watch_rev");
  if (since == target.query.end())
    co_return List(target);
  const auto wait = target.query.find("wait_ms");
  const uint64_t wait_ms =
      wait == target.query.end() ? 0 : ToNumber(wait->second);
  Reply reply = co_await Watch(target.kind, ToNumber(since->second),
                               milliseconds(wait_ms));
  co_return reply;
}

asio::awaitable<Store::Reply> Store::Watch(std::string kind,
                                           uint64_t since,
                                           milliseconds wait) {
  Reply reply;
  if (since > content_.revision) {
    reply.status = kGone;
    co_return reply;
  }
  const uint64_t era = era_;
  const auto deadline = SteadyClock::now() + wait;
  asio::steady_timer timer(*io_);
  for (;;) {
    if (era != era_ || is_down_ || is_busy_) {
      reply.is_cut = true;
      co_return reply;
    }
    json::array events;
    for (const Event& event : content_.events) {
      if (event.kind == kind && event.revision > since)
        events.push_back(
            json::object{{"object", event.object}, {"removed", event.removed}});
    }
    if (!events.empty() || SteadyClock::now() >= deadline) {
      reply.body = json::serialize(json::object{{"events", std::move(events)},
                                                {"at", content_.revision}});
      co_return reply;
    }
    watches_.insert(&timer);
    timer.expires_at(deadline);
    co_await timer.async_wait(kAsTuple);
    watches_.erase(&timer);
  }
}

Store::Reply Store::List(const Target& target) const {
  const auto after = target.query.find("after");
  json::array items;
  bool has_more = false;
  const auto kind = content_.kinds.find(target.kind);
  if (kind != content_.kinds.end()) {
    auto item = after == target.query.end()
                    ? kind->second.begin()
                    : kind->second.upper_bound(after->second);
    for (; item != kind->second.end() && items.size() < kPageItems; ++item)
      items.push_back(ToJson(item->first, item->second));
    has_more = item != kind->second.end();
  }
  Reply reply;
  reply.body = json::serialize(json::object{{"items", std::move(items)},
                                            {"has_more", has_more},
                                            {"at", content_.revision}});
  return reply;
}

Store::Reply Store::Change(const Request& request, const Target& target) {
  Reply reply;
  boost::system::error_code failure;
  json::value document;
  if (!request.body().empty())
    document = json::parse(request.body(), failure);
  const json::object* fields = document.if_object();
  std::string name = target.name;
  if (name.empty() && fields && fields->contains("metadata"))
    name = json::value_to<std::string>(fields->at("metadata").at("name"));
  Objects& objects = content_.kinds[target.kind];
  const auto found = objects.find(name);
  const bool exists = found != objects.end();
  const auto wanted = target.query.find("revision");
  if (request.method() == http::verb::post ? exists : !exists) {
    reply.status = exists ? kConflict : kNotFound;
    return reply;
  }
  if (wanted != target.query.end() && exists &&
      ToNumber(wanted->second) != found->second.revision) {
    reply.status = kConflict;
    return reply;
  }
  if (request.method() == http::verb::delete_) {
    const Object object = found->second;
    objects.erase(found);
    Note(target.kind, name, object, true);
    return reply;
  }
  Object& object = objects[name];
  const char* part = target.is_status ? "status" : "spec";
  json::value content =
      fields && fields->contains(part) ? fields->at(part) : json::value();
  json::value& to = target.is_status ? object.status : object.spec;
  if (!exists || to != content) {
    to = std::move(content);
    Note(target.kind, name, object, false);
  }
  reply.status = kOk;
  reply.body = json::serialize(ToJson(name, object));
  return reply;
}

void Store::Note(const std::string& kind,
                 const std::string& name,
                 const Object& object,
                 bool removed) {
  const uint64_t revision = ++content_.revision;
  if (!removed)
    content_.kinds[kind][name].revision = revision;
  Object noted = object;
  noted.revision = revision;
  content_.events.push_back({revision, kind, ToJson(name, noted), removed});
  WakeWatches();
}

void Store::WakeWatches() {
  for (asio::steady_timer* watch : watches_)
    watch->cancel();
}

}  // namespace review
