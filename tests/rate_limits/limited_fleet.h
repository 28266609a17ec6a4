#ifndef TEASELTHREAD_TESTS_RATE_LIMITS_LIMITED_FLEET_H_
#define TEASELTHREAD_TESTS_RATE_LIMITS_LIMITED_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libteaselthread/rate_limits/rate_limit_table.h"

namespace teaselthread::test {

// Gateways that send requests to endpoints with rate limits and tell each other
// of them, in virtual time.
class LimitedFleet {
 public:
  struct Options {
    int gateways = 8;
    int endpoints = 12;
    // Requests per second of the whole fleet; each goes to the first endpoint,
    // in random order, that its gateway may send to.
    double demand = 100;
    double message_loss = 0;  // share of the messages between gateways
    uint64_t seed = 1;
  };

  explicit LimitedFleet(const Options& options);

  Timestamp now() const { return now_; }
  // The endpoint names this limit from now on, or none.
  void SetRate(int endpoint, std::optional<double> rate);
  // The endpoint is another incarnation from now on.
  void Restart(int endpoint);
  void SetDemand(double demand) { demand_ = demand; }
  // A gateway that sends and hears nothing, with its state kept (frozen) or
  // lost (killed), until it resumes.
  void Freeze(int gateway) { gateways_[gateway].runs = false; }
  void Resume(int gateway) { gateways_[gateway].runs = true; }
  void Kill(int gateway);
  // A gateway that hears nothing from the others, nor they from it.
  void CutOff(int gateway) { gateways_[gateway].is_cut_off = true; }
  // A gateway joins. The others know it after a while.
  void Join();
  void RunFor(Duration time);

  const RateLimitTable& table(int gateway) const {
    return gateways_[gateway].table;
  }
  const EndpointRecord& record(int endpoint) const {
    return endpoints_[endpoint].record;
  }
  // The most requests that the endpoint got in any 4 s that began at `from` or
  // later.
  size_t MostInFourSeconds(int endpoint, Timestamp from) const;
  size_t Sent(int endpoint, Timestamp from) const;
  // Updates of limits that one gateway has sent.
  size_t UpdatesSent(int gateway) const {
    return gateways_[gateway].updates_sent;
  }

 private:
  struct Gateway {
    std::string name;
    int zone = 0;
    RateLimitTable table;
    bool runs = true;
    bool is_cut_off = false;
    Timestamp known_at{};  // by the others
    size_t updates_sent = 0;
  };
  struct Endpoint {
    EndpointRecord record;
    std::optional<double> rate;
    std::vector<Timestamp> arrivals;
  };

  void Add(Timestamp known_at);
  void Step();
  void SendRequests(int gateway);
  void Send(int gateway, int endpoint);
  void Exchange(int gateway, bool refreshes);
  void Tell(int from, int to, const std::vector<RateLimitUpdate>& updates);
  std::vector<int> OthersOf(int gateway, bool in_zone, size_t count);

  std::mt19937_64 random_;
  double demand_;
  double message_loss_;
  Timestamp now_{std::chrono::seconds(1'000)};
  std::vector<Gateway> gateways_;
  std::vector<Endpoint> endpoints_;
  std::multimap<Timestamp, std::function<void()>> due_;
};

}  // namespace teaselthread::test

#endif  // TEASELTHREAD_TESTS_RATE_LIMITS_LIMITED_FLEET_H_
