#include "gateway/gateway_fixtures.h"

namespace teaselthread::test {
namespace {

using std::chrono::seconds;

constexpr uint64_t kStartMs = 1'700'000'000'000;

}  // namespace

Timestamp At(Duration since_start) {
  return Timestamp(std::chrono::hours(1)) + since_start;
}

EndpointRecord MakeEngineRecord(const std::string& id,
                                const std::string& zone) {
  EndpointRecord record;
  record.id = id;
  record.started_at_ms = kStartMs;
  record.service = "pool";
  record.address = {"192.0.2.1", 8080};
  record.zone = zone;
  record.slots = 64;
  return record;
}

EndpointRecord MakeDeskRecord(const std::string& id, const std::string& zone) {
  EndpointRecord record = MakeEngineRecord(id, zone);
  record.service = "desk";
  record.slots = 6;
  return record;
}

RouteTable MakeRoutes() {
  RouteTableParts parts;
  parts.version = 1;
  ServiceSpec pool;
  pool.name = "pool";
  pool.cold_start = seconds(3);
  pool.cold_requests_per_second = 10;
  pool.engine = EngineSpec{64, 450'000};
  ServiceSpec desk;
  desk.name = "desk";
  parts.services = {pool, desk};
  Route chat;
  chat.name = "chat";
  chat.host = "shop.example";
  chat.path_prefix = "/chat/";
  chat.kind = RequestKind::kStreaming;
  chat.is_resumable = true;
  chat.max_attempts = 2;
  chat.timeout = seconds(12);
  chat.objective = seconds(1);
  chat.services = {{"pool", 1}};
  Route order = chat;
  order.name = "order";
  order.path_prefix = "/order/";
  order.kind = RequestKind::kNonIdempotent;
  order.is_resumable = false;
  order.max_attempts = 1;
  order.services = {{"desk", 1}};
  Route list = order;
  list.name = "list";
  list.path_prefix = "/list/";
  list.kind = RequestKind::kIdempotent;
  list.max_attempts = 2;
  parts.routes = {chat, order, list};
  parts.customers = {{"office", {"key-1"}, std::nullopt}};
  parts.bounds = {16'384, 8 << 20, seconds(3), seconds(15)};
  return RouteTable::Create(std::move(parts)).TakeValue();
}

}  // namespace teaselthread::test
