#include "libteaselthread/endpoints/cold_start_quota.h"

#include <algorithm>
#include <cmath>

#include "libteaselthread/rendezvous_hash.h"

namespace teaselthread {
namespace {

// The remainder is a margin for nodes that are not yet known to the others.
constexpr double kUsableShare = 0.9;
// One second plus a margin for varying network delays to the endpoint.
constexpr Duration kWindow = std::chrono::milliseconds(1'150);

}  // namespace

uint32_t ColdStartShare(const ColdStartLimit& limit,
                        const std::string& endpoint_id,
                        const std::string& self,
                        const std::vector<std::string>& nodes) {
  const auto usable = static_cast<uint32_t>(
      std::floor(limit.requests_per_second * kUsableShare));
  const auto count = static_cast<uint32_t>(std::max<size_t>(1, nodes.size()));
  if (usable >= count)
    return usable / count;
  return RendezvousKey(endpoint_id).RankOf(self, nodes) < usable ? 1 : 0;
}

bool ColdStartQuota::Allows(uint32_t share, Timestamp now) const {
  const auto recent =
      std::count_if(sends_.begin(), sends_.end(),
                    [&](Timestamp sent) { return sent + kWindow > now; });
  return recent < static_cast<int64_t>(share);
}

void ColdStartQuota::OnSend(Timestamp now) {
  while (!sends_.empty() && sends_.front() + kWindow <= now)
    sends_.pop_front();
  sends_.push_back(now);
}

}  // namespace teaselthread
