#include "store_epochs/restorable_store.h"

#include <algorithm>

#include "platform/wire_names.h"

namespace teaselthread::test {
namespace {

using std::chrono::milliseconds;

constexpr StoreKind kKinds[] = {
    StoreKind::kConfiguration, StoreKind::kEndpoints, StoreKind::kEvacuations,
    StoreKind::kNodes,         StoreKind::kRollouts,  StoreKind::kFleet};
// How long a watch without changes waits at most.
constexpr Duration kWatchTime = milliseconds(100);

std::string TargetOf(const std::string& head) {
  const size_t start = head.find(' ') + 1;
  return head.substr(start, head.find(' ', start) - start);
}

std::string Join(const std::vector<std::string>& items) {
  std::string joined;
  for (const std::string& item : items)
    joined += (joined.empty() ? "" : ",") + item;
  return joined;
}

}  // namespace

RestorableStore::RestorableStore(asio::io_context* io)
    : server_(io, [this](const std::string& head, const std::string&, int) {
        return Respond(head);
      }) {}

void RestorableStore::Write(StoreKind kind,
                            const std::string& name,
                            const std::string& spec) {
  const uint64_t revision = ++contents_.revision;
  const std::string item = R"({"metadata":{"name":")" + name +
                           R"(","revision":)" + std::to_string(revision) +
                           R"(},"spec":)" + spec + "}";
  contents_.items[kind][name] = item;
  contents_.history.push_back({revision, kind, R"({"object":)" + item + "}"});
}

void RestorableStore::Remove(StoreKind kind, const std::string& name) {
  const auto found = contents_.items[kind].find(name);
  contents_.history.push_back(
      {++contents_.revision, kind,
       R"({"object":)" + found->second + R"(,"removed":true})"});
  contents_.items[kind].erase(found);
}

void RestorableStore::Forget() {
  contents_.history.clear();
  contents_.forgotten_to = contents_.revision;
}

void RestorableStore::Restore() {
  contents_ = copy_;
  ++epoch_;
}

void RestorableStore::Mark() {
  Write(StoreKind::kFleet, "epoch",
        R"({"epoch":)" + std::to_string(epoch_) + "}");
}

int RestorableStore::reads(StoreKind kind) const {
  return CountCalls(kind, true);
}

int RestorableStore::writes(StoreKind kind) const {
  return CountCalls(kind, false);
}

int RestorableStore::CountCalls(StoreKind kind, bool reads) const {
  const std::string target = codec_.ObjectTarget(kind, "");
  return static_cast<int>(
      std::count_if(server_.heads().begin(), server_.heads().end(),
                    [&](const std::string& head) {
                      return TargetOf(head).starts_with(target) &&
                             head.starts_with("GET ") == reads;
                    }));
}

ScriptedEndpoint::Reply RestorableStore::Respond(
    const std::string& head) const {
  if (is_silent_)
    return {};
  const std::string target = TargetOf(head);
  const auto kind = std::find_if(
      std::begin(kKinds), std::end(kKinds), [&](StoreKind candidate) {
        return target.starts_with(codec_.ObjectTarget(candidate, ""));
      });
  if (!head.starts_with("GET "))
    return {Response("201 Created", "{}")};
  const size_t revision = target.find("_rev=");
  if (revision == std::string::npos)
    return {Response("200 OK", ListBody(*kind))};
  const uint64_t from = std::stoull(target.substr(revision + 5));
  if (from > contents_.revision || from < contents_.forgotten_to)
    return {Response("410 Gone", "{}")};
  const std::string body = Response("200 OK", WatchBody(*kind, from));
  if (body.find(R"("events":[])") == std::string::npos)
    return {body};
  ScriptedEndpoint::Reply reply;
  reply.pause = kWatchTime;
  reply.rest = body;
  return reply;
}

std::string RestorableStore::Response(const std::string& status,
                                      const std::string& body) const {
  return MakeResponse("", body, status,
                      Field(platform::kStoreEra, std::to_string(epoch_)));
}

std::string RestorableStore::ListBody(StoreKind kind) const {
  std::vector<std::string> items;
  const auto found = contents_.items.find(kind);
  if (found != contents_.items.end()) {
    for (const auto& [name, item] : found->second)
      items.push_back(item);
  }
  return R"({"items":[)" + Join(items) + R"(],"has_more":false,"at":)" +
         std::to_string(contents_.revision) + "}";
}

std::string RestorableStore::WatchBody(StoreKind kind, uint64_t from) const {
  std::vector<std::string> events;
  for (const Change& change : contents_.history) {
    if (change.kind == kind && change.revision > from)
      events.push_back(change.event);
  }
  return R"({"events":[)" + Join(events) + R"(],"at":)" +
         std::to_string(contents_.revision) + "}";
}

}  // namespace teaselthread::test
