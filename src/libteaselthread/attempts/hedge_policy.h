#ifndef TEASELTHREAD_ATTEMPTS_HEDGE_POLICY_H_
#define TEASELTHREAD_ATTEMPTS_HEDGE_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libteaselthread/attempts/response_times.h"
#include "libteaselthread/attempts/retry_allowance.h"
#include "libteaselthread/timestamp.h"

namespace teaselthread {

// Why no hedge is sent for a request whose response is late.
enum class HedgeDenial : uint8_t {
  kMaxAttempts,     // no other endpoint may run the request
  kDeadline,        // too little time is left for another response
  kServiceSlow,     // most responses are slow, or many are late
  kNoCapacity,      // the service is short of capacity
  kNoEndpoint,      // all other endpoints are in doubt or at a limit
  kNoBufferSpace,   // the node buffers too many bodies already
  kShareLimit,      // the operators' share of requests is used up
  kRetryAllowance,  // the rest of the retry allowance is kept for retries
};
inline constexpr size_t kHedgeDenialCount = 8;
std::string_view ToString(HedgeDenial denial);

// A request whose response is late, and the state of its service.
struct HedgeQuery {
  std::string route;
  bool may_run_elsewhere = false;  // its max_attempts allow another endpoint
  Duration time_left{};            // until its deadline
  // Mean of the endpoints' loads, each divided by the endpoint's slots.
  double mean_load_share = 0;
  size_t waiting = 0;  // requests that wait until an endpoint has room
};

// Decides when a second attempt, the hedge, is sent for a request whose first
// one is late. There is one policy for each service.
//
// A response is late after the 95th percentile of its route's recent response
// times, but not before 1.5 times their median. The number of hedges is limited
// to a share of the requests, which the operators set, and to the part of the
// retry allowance that is not kept for retries. As both are shares of the
// node's own requests, all nodes keep the limits without messages.
//
// Load pattern: few responses of single endpoints take many times longer than
// the others. If a service is slow as a whole, most responses are late; no
// hedges are sent then, as they would make it slower.
class HedgePolicy {
 public:
  // `window`: the limit on hedges holds in any such time.
  explicit HedgePolicy(Duration window) : window_(window) {}

  // The largest share that operators may set.
  static constexpr double kMaxShare = 0.2;

  // Hedges as a share of the requests. 0 disables hedging.
  void set_share(double share);
  double share() const { return share_; }

  void OnRequest(Timestamp now) { hedges_.OnRequest(now); }
  // A response arrived within the delay of its route.
  void OnResponseInTime() { late_history_ <<= 1; }
  // An attempt that is not a hedge has become late.
  void OnLate() { late_history_ = late_history_ << 1 | 1; }
  // `time`: from sending the attempt, which is not a hedge, until its response
  // or its cancellation. The latter is longer than the delay, so the quantile
  // does not fall because late attempts are cancelled.
  void OnResponseTime(const std::string& route, Duration time) {
    times_[route].Add(time);
  }
  // An endpoint of the service has rejected a request, or this node has, as it
  // had no endpoint for it.
  void OnRejection(Timestamp now) { last_rejection_ = now; }

  // The time after which a response is late. Empty if hedging is disabled or
  // too few response times are known.
  std::optional<Duration> DelayFor(const std::string& route) const;
  // Empty if a hedge makes sense and the limits may be asked for it.
  std::optional<HedgeDenial> Check(const HedgeQuery& query,
                                   Timestamp now) const;
  // Takes one hedge from the limits. Empty if they allow it.
  std::optional<HedgeDenial> TryTake(RetryAllowance* retries,
                                     size_t nodes,
                                     Timestamp now);
  // How many of the service's latest 64 responses were late.
  uint32_t late_count() const;

 private:
  RetryLimit Limit() const { return {share_, 0, window_}; }

  Duration window_;
  double share_ = 0;
  RetryAllowance hedges_{Limit()};
  std::map<std::string, ResponseTimes> times_;  // by route
  uint64_t late_history_ = 0;  // one bit per response; the latest is bit 0
  std::optional<Timestamp> last_rejection_;
};

}  // namespace teaselthread

#endif  // TEASELTHREAD_ATTEMPTS_HEDGE_POLICY_H_
