#include "store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace review {
namespace {

namespace json = boost::json;

constexpr std::string_view kObjectsPath = "/-/objects/";

// The value of `name` in the query of a target; empty if it is absent.
std::string QueryValue(const std::string& target, const std::string& name) {
  for (size_t start = target.find('?'); start != std::string::npos;
       start = target.find('&', start + 1)) {
    const std::string item =
        target.substr(start + 1, target.find('&', start + 1) - start - 1);
    if (item.starts_with(name + "="))
      return item.substr(name.size() + 1);
  }
  return {};
}

}  // namespace

Store::Store() {
  listener_ = std::make_unique<Listener>(
      [this](const ConnectionPtr& connection) { Serve(*connection); });
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const json::value& spec) {
  const std::lock_guard lock(mutex_);
  PutLocked(kind, name, spec);
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  RemoveLocked(kind, name);
}

void Store::PutLocked(const std::string& kind,
                      const std::string& name,
                      const json::value& spec) {
  json::object& object = objects_[{kind, name}];
  if (!object.empty() && object["spec"] == spec)
    return;
  ++revision_;
  object["metadata"] = {{"name", name}, {"revision", revision_}};
  object["spec"] = spec;
  changes_.push_back(
      {revision_, kind, {{"object", object}, {"removed", false}}});
  changed_.notify_all();
}

bool Store::RemoveLocked(const std::string& kind, const std::string& name) {
  const auto found = objects_.find({kind, name});
  if (found == objects_.end())
    return false;
  ++revision_;
  json::object object = found->second;
  object["metadata"] = {{"name", name}, {"revision", revision_}};
  objects_.erase(found);
  changes_.push_back(
      {revision_, kind, {{"object", object}, {"removed", true}}});
  changed_.notify_all();
  return true;
}

void Store::Serve(Connection& connection) {
  ReadEnd ended{};
  while (const auto head = ReadHead(connection, &ended)) {
    const std::string body = ReadRequestBody(connection, *head);
    const Reply reply = Respond(*head, body);
    const std::string start_line =
        "HTTP/1.1 " + std::to_string(reply.status) + " Store";
    if (!connection.Write(EncodeMessage(start_line,
                                        {{"Content-Type", "application/json"}},
                                        json::serialize(reply.body)))) {
      return;
    }
  }
}

Store::Reply Store::Respond(const Head& head, const std::string& body) {
  const std::string target = head.Target();
  const std::string path = target.substr(0, target.find('?'));
  if (!path.starts_with(kObjectsPath))
    return {404, {}};
  const std::string rest = path.substr(kObjectsPath.size());
  const std::string kind = rest.substr(0, rest.find('/'));
  std::string name =
      rest.size() > kind.size() ? rest.substr(kind.size() + 1) : std::string();
  const std::string method = head.Method();
  const std::string watch = QueryValue(target, "watch_rev");
  if (method == "GET" && !watch.empty()) {
    return Watch(kind, std::strtoull(watch.c_str(), nullptr, 10),
                 std::atoi(QueryValue(target, "wait_ms").c_str()));
  }
  if (method == "GET")
    return List(kind);
  const std::lock_guard lock(mutex_);
  if (method == "DELETE")
    return {RemoveLocked(kind, name) ? 200 : 404, {}};
  boost::system::error_code failure;
  const json::value document = json::parse(body, failure);
  if (failure || !document.is_object())
    return {400, {}};
  if (name.empty())
    name = document.at("metadata").at("name").as_string().c_str();
  if (method == "POST" && objects_.contains({kind, name}))
    return {409, objects_.at({kind, name})};
  PutLocked(kind, name, document.at("spec"));
  return {200, objects_.at({kind, name})};
}

Store::Reply Store::List(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  json::array items;
  for (const auto& [key, object] : objects_) {
    if (key.first == kind)
      items.emplace_back(object);
  }
  return {200, {{"items", items}, {"has_more", false}, {"at", revision_}}};
}

Store::Reply Store::Watch(const std::string& kind,
                          uint64_t revision,
                          int wait_ms) {
  std::unique_lock lock(mutex_);
  const auto is_event = [&](const Change& change) {
    return change.kind == kind && change.revision > revision;
  };
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    return std::any_of(changes_.begin(), changes_.end(), is_event);
  });
  json::array events;
  for (const Change& change : changes_) {
    if (is_event(change))
      events.emplace_back(change.event);
  }
  return {200, {{"events", events}, {"at", revision_}}};
}

}  // namespace review
