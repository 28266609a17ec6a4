#include "libteaselthread/rate_limits/rate_limit_share.h"

#include <algorithm>
#include <cmath>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

// Long enough for a few requests at the usual limits, and short enough for an
// endpoint not to be given the requests of a long pause at once.
constexpr Duration kUsualWindow = std::chrono::seconds(4);

using Seconds = std::chrono::duration<double>;

}  // namespace

RateAllowance RateAllowance::For(double rate) {
  const double usual_requests = rate * Seconds(kUsualWindow).count();
  if (usual_requests >= 1) {
    return {static_cast<uint32_t>(std::floor(usual_requests)), kUsualWindow};
  }
  return {1, std::chrono::ceil<Duration>(Seconds(1 / rate))};
}

RateLimitShare RateLimitShare::For(const RateAllowance& allowance,
                                   const std::string& endpoint_id,
                                   const std::string& self,
                                   const std::vector<std::string>& nodes) {
  RateLimitShare share;
  share.rank = RendezvousKey(endpoint_id).RankOf(self, nodes);
  share.nodes = static_cast<uint32_t>(
      1 + nodes.size() - std::count(nodes.begin(), nodes.end(), self));
  const bool gets_one_more = share.rank < allowance.requests % share.nodes;
  share.requests = allowance.requests / share.nodes + (gets_one_more ? 1 : 0);
  return share;
}

}  // namespace teaselthread
