#include "libteaselthread/requests/customer_limiter.h"

#include <algorithm>
#include <cmath>

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A customer's connections are distributed unevenly over the nodes, so each
// node grants this multiple of an equal share.
constexpr double kImbalanceFactor = 2;
constexpr Duration kIdleLifetime = seconds(60);
constexpr size_t kMaxCustomers = 10'000;
constexpr Duration kRetryAfterConcurrency = milliseconds(1'000);

double NodeShare(double fleet_limit, size_t node_count) {
  const double share = node_count <= 1 ? fleet_limit
                                       : fleet_limit * kImbalanceFactor /
                                             static_cast<double>(node_count);
  return std::min(fleet_limit, std::max(1.0, share));
}

}  // namespace

std::optional<RefusedNotRun> CustomerLimiter::TryBegin(
    const std::string& customer,
    const CustomerLimits& fleet_limits,
    size_t node_count,
    Timestamp now) {
  const double rate = NodeShare(fleet_limits.requests_per_second, node_count);
  const double burst = std::max(1.0, rate);
  if (customers_.size() >= kMaxCustomers)
    DropIdle(now);
  auto [entry, is_new] = customers_.try_emplace(customer, State{burst, now, 0});
  State& state = entry->second;
  const double elapsed_s =
      std::chrono::duration<double>(now - state.filled_at).count();
  state.tokens = std::min(burst, state.tokens + elapsed_s * rate);
  state.filled_at = now;
  if (state.running >=
      std::ceil(NodeShare(fleet_limits.concurrency, node_count))) {
    return RefusedNotRun{RefusalReason::kCustomerConcurrency,
                         kRetryAfterConcurrency};
  }
  if (state.tokens < 1) {
    const auto wait = std::chrono::duration<double>((1 - state.tokens) / rate);
    return RefusedNotRun{RefusalReason::kCustomerRate,
                         std::chrono::ceil<milliseconds>(wait)};
  }
  state.tokens -= 1;
  ++state.running;
  return std::nullopt;
}

void CustomerLimiter::End(const std::string& customer) {
  auto found = customers_.find(customer);
  if (found != customers_.end() && found->second.running > 0)
    --found->second.running;
}

void CustomerLimiter::DropIdle(Timestamp now) {
  std::erase_if(customers_, [now](const auto& item) {
    return item.second.running == 0 &&
           now - item.second.filled_at > kIdleLifetime;
  });
}

}  // namespace teaselthread
