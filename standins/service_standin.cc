// Stand-in for a service with non-idempotent calls: counts the runs of each
// idempotency key. GET /load returns the current load, GET /stats the counters.
// POST /fault?KEY=N injects a fault:
//   delay_ms=N     set the duration of a call
//   lose_replies=N run the next N calls, then close the connection without a
//                  response
#include <algorithm>
#include <boost/json.hpp>
#include <map>

#include "standin_main.h"
#include "standin_server.h"

namespace teaselthread::standins {
namespace {

namespace json = boost::json;

class Service {
 public:
  asio::awaitable<void> Handle(Exchange exchange) {
    const std::string path = exchange.Path();
    if (path == "/load") {
      co_await exchange.Respond(200, Load());
    } else if (path == "/stats") {
      co_await exchange.Respond(200, Stats());
    } else if (path == "/fault") {
      delay_ms_ = exchange.Number("delay_ms", delay_ms_);
      lose_replies_ = exchange.Number("lose_replies", lose_replies_);
      co_await exchange.Respond(200, "{}");
    } else {
      co_await Run(exchange);
    }
  }

 private:
  asio::awaitable<void> Run(Exchange exchange) {
    const std::string key = exchange.Header("Idempotency-Key");
    const uint64_t run = key.empty() ? 0 : ++runs_[key];
    ++total_;
    ++running_;
    co_await Sleep(std::chrono::milliseconds(delay_ms_));
    --running_;
    if (lose_replies_ > 0) {
      --lose_replies_;
      exchange.Reset();
      co_return;
    }
    co_await exchange.Respond(200, FormatResponse(key, run));
  }

  static std::string FormatResponse(const std::string& key, uint64_t run) {
    return json::serialize(json::object{{"key", key}, {"run", run}});
  }

  std::string Load() const {
    return json::serialize(
        json::object{{"running", running_}, {"cold", false}});
  }

  std::string Stats() const {
    json::object keys;
    for (const auto& [key, runs] : runs_)
      keys[key] = runs;
    return json::serialize(json::object{{"total", total_}, {"keys", keys}});
  }

  std::map<std::string, uint64_t> runs_;
  uint64_t total_ = 0;
  uint64_t running_ = 0;
  uint64_t delay_ms_ = 20;
  uint64_t lose_replies_ = 0;
};

}  // namespace

int RunService(uint16_t port) {
  asio::io_context io(1);
  Service service;
  return Serve(io, port,
               [&](Exchange exchange) { return service.Handle(exchange); });
}

}  // namespace teaselthread::standins
